use super::*;
use crate::discovery::member::Message;

/// A list as persisted by versions without services: the derived form of their `Message`.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub struct OldMessage {
    pub revision: u64,
    pub complete: bool,
    pub members: Vec<OldMember>,
}

/// `Member` of versions without services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OldMember {
    pub id: String,
    pub host_port: String,
    pub locality: String,
    pub flavor: String,
    pub cell: u32,
    pub phase: Phase,
    pub size: f64,
    pub up_since_ms: f64,
}

pub fn old(id: &str) -> OldMember {
    OldMember {
        id: id.into(),
        host_port: "127.0.0.1:9".into(),
        locality: "a".into(),
        flavor: "m".into(),
        cell: 300,
        phase: Phase::Draining,
        size: 1.5,
        up_since_ms: 1_700_000_000_000.0,
    }
}

/// The same entry as the current type.
pub fn new(id: &str, service: &str) -> Member {
    let OldMember { id, host_port, locality, flavor, cell, phase, size, up_since_ms } = old(id);
    let service = service.into();
    Member { id, host_port, locality, flavor, cell, phase, size, up_since_ms, service }
}

#[test]
fn v1_list_is_read_and_written_unchanged() {
    for complete in [false, true] {
        let stored = OldMessage { revision: 700, complete, members: vec![old("a"), old("b")] };
        let stored = postcard::to_stdvec(&stored).expect("stored");
        let list = Message { revision: 700, complete, members: vec![new("a", ""), new("b", "")] };
        let read: List = postcard::from_bytes(&stored).expect("read");
        assert_eq!(Message::from(read), list);
        assert_eq!(postcard::to_stdvec(&List::from(&list)), Ok(stored));
    }
}

#[test]
fn list_with_services_is_rejected_by_v1_readers() {
    for complete in [false, true] {
        let list = Message { revision: 700, complete, members: vec![new("a", ""), new("b", "s")] };
        let stored = postcard::to_stdvec(&List::from(&list)).expect("stored");
        let read: List = postcard::from_bytes(&stored).expect("read");
        assert_eq!(Message::from(read), list);
        assert!(postcard::from_bytes::<OldMessage>(&stored).is_err(), "refused, not misread");
    }
}
