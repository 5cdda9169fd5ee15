//! Signals that the process waits for, by a pipe that their handler writes to.
//!
//! Tokio's own signal driver panics where a read of its pipe is interrupted; here that read is made again.

use std::io::ErrorKind;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::low_level::pipe::register;
use tokio::net::unix::pipe;

/// A signal that the program handles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalKind {
    /// SIGHUP: the configuration has changed.
    Hangup,
    /// SIGINT: somebody at a terminal ends the program.
    Interrupt,
    /// SIGTERM: the program has to end.
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

/// One kind of signal, from its registration on.
#[derive(Debug)]
pub struct Signals(pipe::Receiver);

impl Signals {
    /// Handles this signal from now on, in place of its default action.
    ///
    /// # Errors
    /// What the system says of the pipe or of the handler.
    pub fn of(kind: SignalKind) -> std::io::Result<Self> {
        let (sender, receiver) = pipe::pipe()?;
        register(kind.number(), sender.into_nonblocking_fd()?)?;
        Ok(Self(receiver))
    }

    /// Waits for the next one; those that came in the meantime count as one.
    ///
    /// # Errors
    /// What the system says of the pipe.
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
