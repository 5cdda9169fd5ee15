use super::*;
use crate::discovery::member::Message;

/// A list as versions without services keep it: the derived form of their `Message`.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub struct OldMessage {
    pub revision: u64,
    pub complete: bool,
    pub members: Vec<OldMember>,
}

/// Their `Member`.
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

/// The same entry as it is now.
pub fn new(id: &str, service: &str) -> Member {
    let OldMember { id, host_port, locality, flavor, cell, phase, size, up_since_ms } = old(id);
    let service = service.into();
    Member { id, host_port, locality, flavor, cell, phase, size, up_since_ms, service }
}

#[test]
fn a_list_kept_before_there_were_services_is_read_and_one_without_is_written_the_same() {
    for complete in [false, true] {
        let kept = OldMessage { revision: 700, complete, members: vec![old("a"), old("b")] };
        let kept = postcard::to_stdvec(&kept).expect("kept");
        let list = Message { revision: 700, complete, members: vec![new("a", ""), new("b", "")] };
        let read: List = postcard::from_bytes(&kept).expect("read");
        assert_eq!(Message::from(read), list);
        assert_eq!(postcard::to_stdvec(&List::from(&list)), Ok(kept));
    }
}

#[test]
fn a_list_with_services_is_read_back_and_refused_by_the_versions_without() {
    for complete in [false, true] {
        let list = Message { revision: 700, complete, members: vec![new("a", ""), new("b", "s")] };
        let kept = postcard::to_stdvec(&List::from(&list)).expect("kept");
        let read: List = postcard::from_bytes(&kept).expect("read");
        assert_eq!(Message::from(read), list);
        assert!(postcard::from_bytes::<OldMessage>(&kept).is_err(), "refused, not misread");
    }
}
