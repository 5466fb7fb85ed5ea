//! System calls that fail, and a wall clock that is stepped, in a process of the program: a small library that it preloads
//! (`faults/faults.c`, built with the C compiler that links the program).
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::Command;
use tempfile::TempDir;

const SOURCE: &str = include_str!("../faults/faults.c");

/// The library, and the files by which it is told what to do.
pub struct Faults {
    folder: TempDir,
    library: PathBuf,
}

impl Faults {
    /// Builds the library; an error holds what the compiler says.
    pub fn build() -> io::Result<Faults> {
        let folder = tempfile::tempdir()?;
        let library = folder.path().join("faults.so");
        let source = folder.path().join("faults.c");
        std::fs::write(&source, SOURCE)?;
        let built =
            Command::new("cc").args(["-shared", "-fPIC", "-O1", "-o"]).arg(&library).arg(&source).output()?;
        match built.status.success() {
            true => Ok(Faults { folder, library }),
            false => Err(io::Error::other(String::from_utf8_lossy(&built.stderr).into_owned())),
        }
    }

    /// Has the process that the command starts preload the library. Its wall clock can be stepped from then on.
    pub fn preload(&self, command: &mut Command) {
        command.env("LD_PRELOAD", &self.library);
        command.env("FAULT_WALL", self.wall_file());
    }

    /// System calls that fail, as `CALL=ERROR/EVERY` with blanks between; while `occur` was last called with true.
    pub fn fail(&self, command: &mut Command, calls: &str) {
        self.preload(command);
        command.env("FAULT_CALLS", calls).env("FAULT_WHILE", self.flag_file());
    }

    /// Of calls on files, only those under this folder fail.
    pub fn only_under(&self, command: &mut Command, folder: &Path) {
        command.env("FAULT_UNDER", folder);
    }

    /// Whether calls fail from now on.
    pub fn occur(&self, faults: bool) -> io::Result<()> {
        match faults {
            true => std::fs::write(self.flag_file(), ""),
            false => std::fs::remove_file(self.flag_file()),
        }
    }

    /// Steps the wall clock: it is off by so many seconds from now on.
    pub fn step_wall_clock(&self, seconds: i64) -> io::Result<()> {
        let next = self.folder.path().join("wall.next");
        std::fs::File::create(&next)?.write_all(seconds.to_string().as_bytes())?;
        std::fs::rename(next, self.wall_file())
    }

    fn wall_file(&self) -> PathBuf {
        self.folder.path().join("wall")
    }

    fn flag_file(&self) -> PathBuf {
        self.folder.path().join("occur")
    }
}
