use super::*;

fn acquire(table: &mut Table, holder: &str) -> Result<Token, Refusal> {
    let (duty, holder) = ("d".into(), holder.into());
    let grant = table.apply(LeaseCommand::Acquire { duty, holder, ttl_ms: 1000 })?;
    Ok(grant.expect("granted").token)
}

#[test]
fn a_duty_has_one_holder_and_each_grant_a_higher_token() {
    let mut table = Table::default();
    assert_eq!(acquire(&mut table, "a"), Ok(1));
    assert_eq!(acquire(&mut table, "b"), Err(Refusal::Held { holder: "a".into(), token: 1 }));
    assert_eq!(acquire(&mut table, "a"), Ok(2), "the holder restarted");
    assert!(table.check("d", 1).is_err() && table.check("d", 2).is_ok());
    let expire = |renewals| LeaseCommand::Expire { duty: "d".into(), token: 2, renewals };
    table.apply(LeaseCommand::Renew { duty: "d".into(), token: 2 }).expect("its own token");
    assert!(table.apply(expire(0)).expect("live").is_some(), "renewed in between");
    assert!(table.apply(expire(1)).expect("live").is_none());
    assert_eq!(table.check("d", 2), Err(Refusal::Stale { token: 2, highest: 2 }));
    assert_eq!(acquire(&mut table, "b"), Ok(3));
    assert!(table.apply(LeaseCommand::Release { duty: "d".into(), token: 2 }).is_err());
    assert_eq!(table.duties()["d"].lost, 2);
}

#[test]
fn invalid_requests_are_refused() {
    let mut table = Table::default();
    let ask = |duty: &str, ttl_ms| LeaseCommand::Acquire {
        duty: duty.into(),
        holder: "a".into(),
        ttl_ms,
    };
    for command in [ask("", 1000), ask(&"x".repeat(300), 1000), ask("d", 1), ask("d", u64::MAX)] {
        assert!(matches!(table.apply(command), Err(Refusal::Invalid(_))));
    }
    assert_eq!(table, Table::default(), "the table is unchanged");
}
