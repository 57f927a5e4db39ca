//! Real processes of this workspace, ended with their values.

use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

/// A running process; it is killed when the value is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

/// Path of a program of this workspace, beside the running test or one folder above it.
pub fn program_path(name: &str) -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    let candidates = own.ancestors().skip(1).take(2).map(|it| it.join(name));
    candidates.into_iter().find(|it| it.exists()).unwrap_or_else(|| PathBuf::from(name))
}

impl Process {
    /// Starts a program; its log goes to a file.
    pub fn spawn(name: &str, arguments: &[&str], log: &Path) -> std::io::Result<Process> {
        Process::spawn_with_env(name, arguments, &[], log)
    }

    /// Starts a program with variables of its environment set; its log goes to a file.
    pub fn spawn_with_env(
        name: &str,
        arguments: &[&str],
        variables: &[(&str, &str)],
        log: &Path,
    ) -> std::io::Result<Process> {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(log)?;
        let child = Command::new(program_path(name))
            .args(arguments)
            .envs(variables.iter().copied())
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone()?))
            .stderr(Stdio::from(log))
            .spawn()?;
        Ok(Process { child })
    }

    /// Starts a program whose standard output nobody reads.
    pub fn spawn_unread(name: &str, variables: &[(&str, &str)]) -> std::io::Result<Process> {
        let child = Command::new(program_path(name))
            .envs(variables.iter().copied())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()?;
        Ok(Process { child })
    }

    /// Number of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Ends it at once, as a power cut would.
    pub fn kill(mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal by its name, such as `TERM`, `STOP` or `CONT`.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").arg(format!("-{name}")).arg(self.id().to_string()).status();
    }

    /// Waits for its end and returns whether it succeeded; `None` when the time runs out.
    pub fn wait(&mut self, limit: Duration) -> Option<bool> {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status.success());
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        None
    }

    /// Whether it still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
