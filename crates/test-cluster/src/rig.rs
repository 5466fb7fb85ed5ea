//! Everything together: fronts, boxes, discovery, and a link of its own between any two of them.
use crate::boxes::store::Shelf;
use crate::boxes::{target_name, DiskBox, Make, Speaks};
use crate::clients::{End, History, Request};
use crate::discovery::{Discovery, Lifecycle, Listed, Manner};
use crate::engine::{Clock, Engine, Hiccup};
use crate::files::fill;
use crate::fronts::Front;
use crate::hollow::Hollow;
use crate::links::Links;
use crate::ports::Site;
use crate::schedule::Parties;
use crate::setup::{discovery_door, door, own_address, view, Setup, BOXES, TCP, UDP};
use crate::story::Story;
use crate::verdict::Evidence;
use backoff::BackoffPolicy;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tempfile::TempDir;

/// A rig. Its processes end with it, also where a test panics.
pub struct Rig {
    /// The fronts; first, so that they end before what they speak to.
    pub fronts: Vec<Front>,
    /// The boxes.
    pub boxes: Vec<DiskBox>,
    /// Discovery.
    pub discovery: Discovery,
    /// The links.
    pub links: Links,
    /// What happened.
    pub story: Story,
    /// What it is made of.
    pub setup: Setup,
    /// Its clock.
    pub clock: Clock,
    engine: Engine,
    folder: TempDir,
    site: Site,
}

impl Rig {
    /// Makes everything, and starts all but the fronts.
    pub fn new(setup: Setup) -> io::Result<Rig> {
        if setup.fronts > 40 || setup.boxes > 40 {
            return Err(io::Error::new(io::ErrorKind::InvalidInput, "at most 40 fronts and 40 boxes"));
        }
        let (site, folder) = (Site::new()?, tempfile::tempdir()?);
        let engine = Engine::start(&site)?;
        let (clock, spawner) = (engine.clock(), engine.spawner());
        let links = Links::new(clock.clone(), spawner.clone(), setup.seed);
        let shelves: Vec<Shelf> = (0..setup.boxes).map(|_| Shelf::default()).collect();
        let mut boxes = Vec::new();
        let mut listed = Vec::new();
        for n in 0..setup.boxes {
            let cell = setup.cell(n);
            let each = |f: &dyn Fn(usize) -> SocketAddr| -> BTreeMap<String, SocketAddr> {
                (0..setup.fronts).map(|f_| (Setup::front(f_), f(f_))).collect()
            };
            let make = Make {
                name: Setup::place(n),
                cell: cell as i64,
                speaks: setup.speaks.get(&n).copied().unwrap_or_default(),
                doors: each(&|f| door(&site, n, f)),
                units: setup.units.clone(),
                shelf: shelves[if setup.share { cell } else { n }].clone(),
                seed: setup.seed ^ 0xb0 << 32 ^ n as u64,
            };
            listed.push(Listed {
                name: make.name.clone(),
                hall: setup.hall(n),
                cell: cell as i64,
                speaks: if make.speaks == Speaks::Iscsi { "iscsi" } else { "resp" },
                target: target_name(&make.name),
                lifecycle: Lifecycle::Active,
                started_ms: 0,
                addresses: each(&|f| view(&site, f, BOXES + n as u16)),
            });
            boxes.push(DiskBox::start(make, clock.clone(), spawner.clone())?);
        }
        let doors = (0..setup.fronts).map(|f| (Setup::front(f), discovery_door(&site, f))).collect();
        let discovery = Discovery::start(&doors, listed, clock.clone(), spawner)?;
        let mut fronts = Vec::new();
        for n in 0..setup.fronts {
            let name = Setup::front(n);
            links.tcp(&name, "discovery", view(&site, n, 8500), discovery_door(&site, n))?;
            for place in 0..setup.boxes {
                let near = view(&site, n, BOXES + place as u16);
                links.tcp(&name, &Setup::place(place), near, door(&site, place, n))?;
            }
            for other in (0..setup.fronts).filter(|o| *o != n) {
                let near = |port: u16, a: usize, b: usize| view(&site, a, port + 1 + b as u16);
                let far = own_address(&site, other, TCP);
                links.tcp(&name, &Setup::front(other), near(TCP, n, other), far)?;
                if n < other {
                    let there = Setup::front(other);
                    let a = (name.as_str(), own_address(&site, n, UDP), near(UDP, n, other));
                    let b = (there.as_str(), own_address(&site, other, UDP), near(UDP, other, n));
                    links.udp(a, b)?;
                }
            }
            let text = fill(&setup.text, &setup.values(&site, n, folder.path()))?;
            let at = (own_address(&site, n, 6379), own_address(&site, n, 6382));
            fronts.push(Front::new(&name, at, (&setup.program, folder.path()), &text, clock.clone())?);
        }
        let story = Story::new(clock.clone());
        Ok(Rig { fronts, boxes, discovery, links, story, setup, clock, engine, folder, site })
    }

    /// Starts all fronts and waits until each answers.
    pub fn start(&mut self, patience: Duration) -> io::Result<()> {
        self.fronts.iter_mut().try_for_each(Front::start)?;
        self.fronts.iter_mut().try_for_each(|f| f.ready(patience))?;
        self.story.step(format_args!("{} fronts answer", self.fronts.len()));
        Ok(())
    }

    /// Hollow callers that call discovery beside the fronts, of a fleet of so many; they have a door of their own.
    pub fn hollow(&self, count: u64, fleet: u32) -> io::Result<Hollow> {
        let door = discovery_door(&self.site, self.setup.fronts);
        self.discovery.door("hollow", door)?;
        let (clock, spawner) = (self.clock.clone(), self.engine.spawner());
        Hollow::new(count, door, BackoffPolicy::for_callers(fleet), self.setup.seed, clock, spawner)
    }

    /// Discovery is gone, for fronts too: nobody listens, and what is open is reset; or it is back.
    pub fn discovery_gone(&self, gone: bool) {
        let fronts = self.setup.all_fronts();
        fronts.iter().for_each(|f| self.links.refuse(f, "discovery", gone));
        self.discovery.close(gone);
        self.discovery.act(if gone { Manner::Down } else { Manner::Well });
        if gone {
            fronts.iter().for_each(|f| self.links.reset(f, "discovery"));
        }
    }

    /// When this machine stood still so far.
    pub fn hiccups(&self) -> Vec<Hiccup> {
        self.engine.hiccups()
    }

    /// The front of that name.
    pub fn front(&mut self, name: &str) -> io::Result<&mut Front> {
        let unknown = || io::Error::new(io::ErrorKind::NotFound, format!("no front {name}"));
        self.fronts.iter_mut().find(|f| f.name == name).ok_or_else(unknown)
    }

    /// The box of that name.
    pub fn place(&self, name: &str) -> io::Result<&DiskBox> {
        let unknown = || io::Error::new(io::ErrorKind::NotFound, format!("no box {name}"));
        self.boxes.iter().find(|b| b.make().name == name).ok_or_else(unknown)
    }

    /// A front's file with other text, the placeholders filled in.
    pub fn filled(&self, front: usize, text: &str) -> io::Result<String> {
        fill(text, &self.setup.values(&self.site, front, self.folder.path()))
    }

    /// Where a front's iSCSI clients reach it.
    pub fn iscsi(&self, front: usize) -> SocketAddr {
        own_address(&self.site, front, 3260)
    }

    /// Fronts and where clients reach them.
    pub fn addresses(&self) -> Vec<(String, SocketAddr)> {
        self.fronts.iter().map(|f| (f.name.clone(), f.listen)).collect()
    }

    /// Whom faults may strike.
    pub fn parties(&self) -> Parties {
        Parties {
            fronts: self.setup.all_fronts(),
            boxes: self.setup.all_boxes(),
            halls: self.setup.halls.clone(),
        }
    }

    /// Fronts and boxes of a hall.
    pub fn hall(&self, hall: &str) -> Vec<String> {
        let of = |names: Vec<String>| -> Vec<String> {
            let within = |(n, name): (usize, String)| (self.setup.hall(n) == hall).then_some(name);
            names.into_iter().enumerate().filter_map(within).collect()
        };
        [of(self.setup.all_fronts()), of(self.setup.all_boxes())].concat()
    }

    /// All that was logged, with what clients saw.
    pub fn evidence(&self, history: &History) -> Evidence {
        let mut entries: Vec<_> = self.boxes.iter().flat_map(DiskBox::log).collect();
        entries.sort_by_key(|e| e.order);
        Evidence {
            requests: history.requests.clone(),
            entries,
            told: self.discovery.told(),
            outages: self.fronts.iter().map(|f| (f.name.clone(), f.outages())).collect(),
            pauses: self.links.pauses(),
            hiccups: self.engine.hiccups(),
        }
    }

    /// Where a booking belongs whose volume is held by the boxes of a shard: in what those share.
    pub fn shelf_of(&self, cell: i64) -> Option<Shelf> {
        self.boxes.iter().find(|b| b.make().cell == cell).map(|b| b.make().shelf.clone())
    }

    /// Ends of processes that nobody had asked for.
    pub fn crashes(&mut self) -> Vec<String> {
        self.fronts.iter_mut().flat_map(Front::crashes).collect()
    }

    /// Requests that were served from then on: whether all is well again is told by these.
    pub fn served_since(history: &History, since: Duration) -> impl Iterator<Item = &Request> {
        history.requests.iter().filter(move |r| r.sent.0 >= since && matches!(r.end, End::Served(_)))
    }
}
