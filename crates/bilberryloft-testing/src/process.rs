//! Processes that run the programs of this workspace.

use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

/// A child process that is killed on drop.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

/// Returns the path of a program of this workspace, in the folder of the running executable or the one above.
///
/// Returns the bare name if neither contains the program.
pub fn program_path(name: &str) -> PathBuf {
    let executable = std::env::current_exe().unwrap_or_default();
    let candidates = executable.ancestors().skip(1).take(2).map(|it| it.join(name));
    candidates.into_iter().find(|it| it.exists()).unwrap_or_else(|| PathBuf::from(name))
}

impl Process {
    /// Starts a program and appends its output to a log file.
    pub fn spawn(name: &str, arguments: &[&str], log: &Path) -> std::io::Result<Process> {
        Process::spawn_with_env(name, arguments, &[], log)
    }

    /// Starts a program with additional environment variables and appends its output to a log file.
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

    /// Starts a program whose standard output is a pipe that is never read.
    pub fn spawn_unread(name: &str, variables: &[(&str, &str)]) -> std::io::Result<Process> {
        let child = Command::new(program_path(name))
            .envs(variables.iter().copied())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()?;
        Ok(Process { child })
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process without a shutdown, as a loss of power would.
    pub fn kill(mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends the process a signal by name, such as `TERM`, `STOP` or `CONT`.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").arg(format!("-{name}")).arg(self.id().to_string()).status();
    }

    /// Waits for the process to exit and returns whether it succeeded, or `None` after the timeout.
    pub fn wait(&mut self, timeout: Duration) -> Option<bool> {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status.success());
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        None
    }

    /// Whether the process is still running.
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
