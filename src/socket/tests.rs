use std::io::Error;

use super::*;

#[test]
fn accept_errors_of_one_connection_cause_no_delay() {
    let at_once = |code| is_per_connection_error(&Error::from_raw_os_error(code));
    for code in [libc::ECONNABORTED, libc::EINTR, libc::ENETUNREACH, libc::EHOSTUNREACH] {
        assert!(at_once(code), "{}", Error::from_raw_os_error(code));
    }
    for code in [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM, libc::EINVAL] {
        assert!(!at_once(code), "{}", Error::from_raw_os_error(code));
    }
}
