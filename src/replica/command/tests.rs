use super::*;
use crate::discovery::stored_format::tests::{OldMember, new, old};

/// A command as versions without services write it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum OldCommand {
    Seed { revision: u64, members: Vec<OldMember> },
    Register { member: OldMember, ttl_ms: Option<u64>, fence: Option<Fence> },
    SetPhase { id: String, phase: Phase, fence: Option<Fence> },
    Lapse { id: String },
    Revive { id: String },
    Lease(LeaseCommand),
}

fn fence() -> Option<Fence> {
    Some(Fence { duty: "d".into(), token: 300 })
}

#[test]
fn the_log_of_versions_without_services_is_read_and_what_needs_none_is_written_the_same() {
    let (id, phase, duty) = (|| "a".to_owned(), Phase::Deleted, || "d".to_owned());
    let members = || vec![old("a"), old("b")];
    let lease = || LeaseCommand::Renew { duty: duty(), token: 7 };
    let pairs = [
        (
            OldCommand::Seed { revision: 300, members: members() },
            Command::Seed { revision: 300, members: vec![new("a", ""), new("b", "")] },
        ),
        (
            OldCommand::Register { member: old("a"), ttl_ms: Some(900), fence: fence() },
            Command::Register { member: new("a", ""), ttl_ms: Some(900), fence: fence() },
        ),
        (
            OldCommand::SetPhase { id: id(), phase, fence: fence() },
            Command::SetPhase { id: id(), phase, fence: fence() },
        ),
        (OldCommand::Lapse { id: id() }, Command::Lapse { id: id() }),
        (OldCommand::Revive { id: id() }, Command::Revive { id: id() }),
        (OldCommand::Lease(lease()), Command::Lease(lease())),
    ];
    for (was, is) in pairs {
        let kept = postcard::to_stdvec(&was).expect("kept");
        assert_eq!(postcard::from_bytes(&kept), Ok(is.clone()));
        assert_eq!(postcard::to_stdvec(&is), Ok(kept), "{is:?}");
    }
}

#[test]
fn a_command_in_a_service_is_read_back_and_refused_by_the_versions_without() {
    let members = vec![new("a", ""), new("b", "s")];
    for command in [
        Command::Seed { revision: 300, members },
        Command::Register { member: new("a", "s"), ttl_ms: Some(900), fence: fence() },
    ] {
        let kept = postcard::to_stdvec(&command).expect("kept");
        assert_eq!(postcard::from_bytes(&kept), Ok(command));
        assert!(postcard::from_bytes::<OldCommand>(&kept).is_err(), "refused, not misread");
    }
}
