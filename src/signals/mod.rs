//! Asynchronous signal handling through a pipe that the signal handler writes to.
//!
//! Tokio's signal driver panics if a read of its pipe is interrupted (EINTR); here the read is retried.

use std::io::ErrorKind;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::low_level::pipe::register;
use tokio::net::unix::pipe;

/// A signal handled by the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalKind {
    /// SIGHUP: reload the configuration.
    Hangup,
    /// SIGINT: an interrupt from the terminal; shut down.
    Interrupt,
    /// SIGTERM: shut down.
    Terminate,
}

impl SignalKind {
    fn number(self) -> i32 {
        match self {
            SignalKind::Hangup => SIGHUP,
            SignalKind::Interrupt => SIGINT,
            SignalKind::Terminate => SIGTERM,
        }
    }
}

/// A stream of signals of one kind, from its registration on.
#[derive(Debug)]
pub struct Signals(pipe::Receiver);

impl Signals {
    /// Installs a handler for this signal in place of its default action.
    ///
    /// # Errors
    /// The pipe could not be created, or the handler not installed.
    pub fn of(kind: SignalKind) -> std::io::Result<Self> {
        let (sender, receiver) = pipe::pipe()?;
        register(kind.number(), sender.into_nonblocking_fd()?)?;
        Ok(Self(receiver))
    }

    /// Waits for the next signal; signals received since the last call are merged into one.
    ///
    /// # Errors
    /// The pipe could not be read.
    pub async fn recv(&mut self) -> std::io::Result<()> {
        let mut bytes = [0; 64];
        loop {
            self.0.readable().await?;
            match self.0.try_read(&mut bytes) {
                Ok(_) => return Ok(()),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
                Err(cause) => return Err(cause),
            }
        }
    }
}
