use super::*;

fn config() -> HollowConfig {
    toml::from_str(
        "management = \"127.0.0.1:0\"\nupstreams = 60\nfirst = 1000\nzones = [\"a\", \"b\", \"c\"]\n\
         services = 10\n[lists]\nmanagement = [\"127.0.0.1:1\"]\n",
    )
    .expect("sound")
}

#[test]
fn ids_and_addresses_are_distinct_and_valid() {
    let all = HollowUpstream::all(&config());
    let members: Vec<_> = all.iter().map(|u| u.member(5)).collect();
    assert!(members.iter().all(|m| m.fault().is_none()));
    for of in [|m: &Member| m.id.clone(), |m: &Member| m.host_port.clone()] {
        let distinct: std::collections::HashSet<_> = members.iter().map(of).collect();
        assert_eq!(distinct.len(), 60);
    }
    assert_eq!((members[0].id.as_str(), members[0].service.as_str()), ("u-01000", "service-3"));
}

#[test]
fn every_service_has_equally_many_upstreams_in_every_zone() {
    let all = HollowUpstream::all(&config());
    for zone in ["a", "b", "c"] {
        for service in 0..10 {
            let service = format!("service-{service}");
            let fits = all.iter().filter(|u| u.zone == zone && u.service == service);
            assert_eq!(fits.count(), 2, "{service} in {zone}");
        }
    }
}

#[test]
fn a_command_selects_upstreams_that_match_all_its_fields() {
    let all = HollowUpstream::all(&config());
    let chosen = |text: &str| {
        let order: Order<UpstreamFault> = serde_json::from_str(text).expect("an order");
        order.select_indices(all.iter().map(|u| (u.zone.as_str(), u.service.as_str())))
    };
    assert_eq!(chosen("{\"do\":\"die\"}").len(), 60);
    assert_eq!(chosen("{\"do\":\"die\",\"zone\":\"b\"}").len(), 20);
    assert_eq!(chosen("{\"do\":\"die\",\"zone\":\"b\",\"service\":\"service-3\"}").len(), 2);
    assert_eq!(chosen("{\"do\":\"drain\",\"zone\":\"a\",\"count\":3}").len(), 3);
    assert!(chosen("{\"do\":\"return\",\"zone\":\"d\"}").is_empty());
    for bad in ["{}", "{\"do\":\"sleep\"}", "{\"do\":\"die\",\"zon\":\"a\"}"] {
        assert!(serde_json::from_str::<Order<UpstreamFault>>(bad).is_err(), "{bad}");
    }
}
