use std::io::Error;

use super::*;

#[test]
fn an_aborted_connection_costs_those_behind_it_no_wait() {
    let at_once = |code| is_per_connection_error(&Error::from_raw_os_error(code));
    for code in [libc::ECONNABORTED, libc::EINTR, libc::ENETUNREACH, libc::EHOSTUNREACH] {
        assert!(at_once(code), "{}", Error::from_raw_os_error(code));
    }
    for code in [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM, libc::EINVAL] {
        assert!(!at_once(code), "{}", Error::from_raw_os_error(code));
    }
}
