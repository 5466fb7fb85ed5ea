//! Injects failing system calls and steps of the wall clock into a gateway process, by a small library that
//! the process preloads (`faults/faults.c`, built with the C compiler that links the program; Linux on x86-64
//! or arm64).
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::Command;
use tempfile::TempDir;

const SOURCE: &str = include_str!("../faults/faults.c");

/// The library, and the files that control it.
pub struct SyscallFaults {
    folder: TempDir,
    library: PathBuf,
}

impl SyscallFaults {
    /// Builds the library; an error holds the compiler's messages.
    pub fn build() -> io::Result<SyscallFaults> {
        let folder = tempfile::tempdir()?;
        let library = folder.path().join("faults.so");
        let source = folder.path().join("faults.c");
        std::fs::write(&source, SOURCE)?;
        let built =
            Command::new("cc").args(["-shared", "-fPIC", "-O1", "-o"]).arg(&library).arg(&source).output()?;
        match built.status.success() {
            true => Ok(SyscallFaults { folder, library }),
            false => Err(io::Error::other(String::from_utf8_lossy(&built.stderr).into_owned())),
        }
    }

    /// Makes the process that the command starts preload the library. Its wall clock can be stepped from then
    /// on.
    pub fn preload(&self, command: &mut Command) {
        command.env("LD_PRELOAD", &self.library);
        command.env("FAULT_WALL", self.wall_file());
    }

    /// Makes system calls fail, given as `CALL=ERROR/EVERY` separated by blanks, while `set_active` was last
    /// called with true.
    pub fn fail_calls(&self, command: &mut Command, calls: &str) {
        self.preload(command);
        command.env("FAULT_CALLS", calls).env("FAULT_WHILE", self.flag_file());
    }

    /// Limits the failures of calls on files to files under this folder.
    pub fn limit_to_folder(&self, command: &mut Command, folder: &Path) {
        command.env("FAULT_UNDER", folder);
    }

    /// Sets whether calls fail from now on.
    pub fn set_active(&self, is_active: bool) -> io::Result<()> {
        match is_active {
            true => std::fs::write(self.flag_file(), ""),
            false => std::fs::remove_file(self.flag_file()),
        }
    }

    /// Offsets the wall clock by this number of seconds from now on.
    pub fn step_wall_clock(&self, seconds: i64) -> io::Result<()> {
        let next = self.folder.path().join("wall.next");
        std::fs::File::create(&next)?.write_all(seconds.to_string().as_bytes())?;
        std::fs::rename(next, self.wall_file())
    }

    fn wall_file(&self) -> PathBuf {
        self.folder.path().join("wall")
    }

    fn flag_file(&self) -> PathBuf {
        self.folder.path().join("active")
    }
}
