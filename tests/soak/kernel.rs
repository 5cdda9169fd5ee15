//! Kernel statistics of a TCP connection.

use std::mem::{MaybeUninit, size_of};
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::time::Duration;

/// Time since the last data arrived (`tcpi_last_data_recv`), with a granularity of a few milliseconds.
pub fn since_last_data(stream: &TcpStream) -> Duration {
    let mut info = MaybeUninit::<libc::tcp_info>::zeroed();
    let mut length = size_of::<libc::tcp_info>() as libc::socklen_t;
    // SAFETY: the kernel writes at most `length` bytes into a zeroed plain-data structure.
    let info = unsafe {
        let (level, name) = (libc::IPPROTO_TCP, libc::TCP_INFO);
        libc::getsockopt(stream.as_raw_fd(), level, name, info.as_mut_ptr().cast(), &mut length);
        info.assume_init()
    };
    Duration::from_millis(info.tcpi_last_data_recv.into())
}
