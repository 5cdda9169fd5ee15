use super::*;
use crate::discovery::stored_format::tests::{OldMember, new, old};

/// A command as versions without services encode it.
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
fn commands_without_services_keep_the_old_encoding() {
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
    for (previous, current) in pairs {
        let encoded = postcard::to_stdvec(&previous).expect("encoded");
        assert_eq!(postcard::from_bytes(&encoded), Ok(current.clone()));
        assert_eq!(postcard::to_stdvec(&current), Ok(encoded), "{current:?}");
    }
}

#[test]
fn old_versions_refuse_a_command_with_a_service() {
    let members = vec![new("a", ""), new("b", "s")];
    for command in [
        Command::Seed { revision: 300, members },
        Command::Register { member: new("a", "s"), ttl_ms: Some(900), fence: fence() },
    ] {
        let encoded = postcard::to_stdvec(&command).expect("encoded");
        assert_eq!(postcard::from_bytes(&encoded), Ok(command));
        assert!(postcard::from_bytes::<OldCommand>(&encoded).is_err(), "refused, not misread");
    }
}
