//! The list service is killed and started again while two candidates compete for the duty `sweep`: how many hold it?

mod harness;
use harness::*;
use std::net::SocketAddr;

/// The TTL of the duty, the default of `sweep`, in seconds.
const TTL: f64 = 3.0;

fn number(text: &str, name: &str) -> Option<u64> {
    let key = format!("\"{name}\":");
    let from = &text[text.find(&key)? + key.len()..];
    from.split([',', '}']).next()?.trim().parse().ok()
}

/// The token that a candidate holds, as its health says.
fn token(at: SocketAddr) -> Option<u64> {
    number(&get(at, "/admin/health").ok()?.text(), "token")
}

fn main() {
    let mut run = Run::begin();
    let (lists, management) = (free(), free());
    // As examples/discovery.toml: one instance, no state_dir.
    let names = ["s-1", "s-2", "s-3", "s-4"];
    let mut text = format!("name = \"list-1\"\nlisten = \"{lists}\"\nmanagement = \"{management}\"\nheartbeat_ms = 2000\nhistory = 1024\n");
    for (i, name) in names.iter().enumerate() {
        text += &format!(
            "[[members]]\nid = \"{name}\"\nhost_port = \"127.0.0.1:{}\"\nlocality = \"taipei\"\nflavor = \"std\"\nphase = \"SERVING\"\n",
            18_081 + i
        );
    }
    let file = run.file("discovery.toml", &text).display().to_string();
    let service = run.start("discovery", &format!("discovery --config {file}"), &[]);
    if !until(5_000, || get(management, "/admin/health").is_ok_and(|a| a.status() == 200)) {
        run.give_up("the list service is not ready");
    }
    let candidates = [("sweep-1", free()), ("sweep-2", free())];
    for (name, at) in candidates {
        run.start(name, &format!("sweep --services {management} --holder {name} --after-ms 10000 --listen {at}"), &[]);
        if !until(5_000, || get(at, "/admin/health").is_ok()) {
            run.give_up("a candidate does not answer");
        }
        if name == "sweep-1" && !until(5_000, || token(at).is_some()) {
            run.give_up("the first candidate does not get the duty");
        }
    }
    let held = || candidates.map(|(_, at)| token(at));
    let leases = || get(management, "/admin/leases").map(|a| a.text()).unwrap_or_default();
    note(format!("tokens {:?}; leases {}", held(), leases()));
    sleep(2_500);
    // The kill comes just after a renewal, so that the next is a second away.
    let renewals = number(&leases(), "renewals");
    until(3_000, || number(&leases(), "renewals") != renewals);
    note(format!("tokens {:?}; leases {}", held(), leases()));
    if run.trouble {
        note("the list service is killed, and started again");
        signal(service, 9);
        run.wait("discovery", ms(2_000));
        run.start("discovery-again", &format!("discovery --config {file}"), &[]);
    }
    // Beyond the TTL a lease of before the restart has ended, whoever held it.
    sleep(4_000);
    let (from, mut both, mut seen, mut last) = (now(), 0.0, 0, 0.0);
    let mut drained = false;
    while now() < from + 24.0 {
        let tokens = held();
        if tokens.iter().all(Option::is_some) {
            (seen, last) = (seen + 1, now());
            if both == 0.0 {
                both = now();
            }
        }
        if seen <= 3 || seen % 20 == 0 {
            note(format!("tokens {tokens:?}; leases {}", leases()));
        }
        if !drained && now() > from + 2.0 {
            // Something to do for the one that holds the duty.
            drained = true;
            for id in ["s-1", "s-2"] {
                let answer = post(management, "/admin/members/phase", &format!("{{\"id\":\"{id}\",\"phase\":\"DRAINING\"}}"));
                note(format!("{id} is set DRAINING: {}", answer.map_or_else(|e| e, |a| a.status().to_string())));
            }
        }
        sleep(200);
    }
    for (name, _) in candidates {
        run.note_log(name, &["duty", "swept"]);
    }
    run.note_log("discovery-again", &["duty"]);
    let time = if seen == 0 { 0.0 } else { last - both };
    if held().iter().all(Option::is_none) {
        run.give_up("nobody holds the duty");
    }
    run.finish(time > TTL, &format!("both candidates held the duty `sweep` for {time:.1} s at the same time"));
}
