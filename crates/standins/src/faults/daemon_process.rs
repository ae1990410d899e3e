use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use eyre::WrapErr;

/// One daemon as a process, which can be killed, frozen and started again.
#[derive(Debug)]
pub struct DaemonProcess {
    /// Where operators are answered.
    pub admin: SocketAddr,
    /// Where requests are taken.
    pub api: SocketAddr,
    binary: PathBuf,
    settings: PathBuf,
    child: Option<Child>,
}

impl DaemonProcess {
    /// Describes a daemon; nothing runs yet.
    pub fn new(binary: PathBuf, settings: PathBuf, admin: SocketAddr, api: SocketAddr) -> Self {
        Self {
            admin,
            api,
            binary,
            settings,
            child: None,
        }
    }

    /// Starts the process, unless it runs.
    ///
    /// # Errors
    /// The binary can't be started.
    pub fn start(&mut self) -> eyre::Result<()> {
        if self.child.is_some() {
            return Ok(());
        }
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.settings.with_extension("log"))?;
        let errors = log.try_clone()?;
        let child = Command::new(&self.binary)
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .wrap_err_with(|| format!("can't start {}", self.binary.display()))?;
        self.child = Some(child);
        Ok(())
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Asks for a planned stop and returns whether the process exited with 0.
    pub fn terminate(&mut self) -> bool {
        self.signal("-TERM");
        // A frozen process takes the signal only when it goes on.
        self.thaw();
        let child = self.child.take();
        child.is_some_and(|mut child| child.wait().is_ok_and(|status| status.success()))
    }

    /// Stops the process in its tracks.
    pub fn freeze(&self) {
        self.signal("-STOP");
    }

    /// Lets a frozen process go on.
    pub fn thaw(&self) {
        self.signal("-CONT");
    }

    /// Forgets the process if it has ended; returns whether none runs.
    pub fn has_ended(&mut self) -> bool {
        let runs = self
            .child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(None)));
        if !runs {
            self.child = None;
        }
        !runs
    }

    /// Sends a signal, such as `-TERM`, to the process if it runs.
    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill")
                .args([signal, &child.id().to_string()])
                .status();
        }
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
