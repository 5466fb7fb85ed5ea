//! A whole test cluster: gateways, fake backends, discovery, and a separate link between any two of them.
use crate::backends::store::SharedStore;
use crate::backends::{target_name, BackendConfig, FakeBackend, Protocol};
use crate::checks::RunRecord;
use crate::clients::{History, Request, RequestEnd};
use crate::cluster_config::{
    backend_address, discovery_address, link_address, own_address, ClusterConfig, BACKEND_PORT_BASE,
    TCP_PORT, UDP_PORT,
};
use crate::discovery::{Discovery, Lifecycle, ListedBackend, Mode};
use crate::event_log::EventLog;
use crate::gateway_process::GatewayProcess;
use crate::links::Links;
use crate::loopback::LoopbackNetwork;
use crate::runtime::{Clock, MachineStall, Runtime};
use crate::schedule::FaultTargets;
use crate::simulated_callers::SimulatedCallers;
use crate::templates::render;
use backoff::BackoffPolicy;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tempfile::TempDir;

/// A test cluster. Dropping it ends its processes, also when a test panics.
pub struct TestCluster {
    /// The gateways. Declared first so that they are dropped before the servers that they talk to.
    pub gateways: Vec<GatewayProcess>,
    /// The backends.
    pub backends: Vec<FakeBackend>,
    /// The fake discovery service.
    pub discovery: Discovery,
    /// The network links.
    pub links: Links,
    /// Log of what happened in the run.
    pub event_log: EventLog,
    /// The configuration that the cluster was built from.
    pub config: ClusterConfig,
    /// The clock of the run.
    pub clock: Clock,
    runtime: Runtime,
    folder: TempDir,
    network: LoopbackNetwork,
}

impl TestCluster {
    /// Builds the cluster and starts everything except the gateways.
    pub fn new(config: ClusterConfig) -> io::Result<TestCluster> {
        if config.gateways > 40 || config.backends > 40 {
            return Err(io::Error::new(io::ErrorKind::InvalidInput, "at most 40 gateways and 40 backends"));
        }
        let (network, folder) = (LoopbackNetwork::new()?, tempfile::tempdir()?);
        let runtime = Runtime::start(&network)?;
        let (clock, spawner) = (runtime.clock(), runtime.spawner());
        let links = Links::new(clock.clone(), spawner.clone(), config.seed);
        let stores: Vec<SharedStore> = (0..config.backends).map(|_| SharedStore::default()).collect();
        let mut backends = Vec::new();
        let mut listed = Vec::new();
        for n in 0..config.backends {
            let shard = config.shard_of(n);
            let each = |address: &dyn Fn(usize) -> SocketAddr| -> BTreeMap<String, SocketAddr> {
                (0..config.gateways).map(|g| (ClusterConfig::gateway_name(g), address(g))).collect()
            };
            let backend_config = BackendConfig {
                name: ClusterConfig::backend_name(n),
                shard: shard as i64,
                protocol: config.protocols.get(&n).copied().unwrap_or_default(),
                listen_addresses: each(&|g| backend_address(&network, n, g)),
                luns: config.luns.clone(),
                store: stores[if config.shared_storage { shard } else { n }].clone(),
                seed: config.seed ^ 0xb0 << 32 ^ n as u64,
            };
            listed.push(ListedBackend {
                name: backend_config.name.clone(),
                zone: config.zone_of(n),
                shard: shard as i64,
                protocol: if backend_config.protocol == Protocol::Iscsi { "iscsi" } else { "resp" },
                target: target_name(&backend_config.name),
                lifecycle: Lifecycle::Active,
                started_ms: 0,
                addresses: each(&|g| link_address(&network, g, BACKEND_PORT_BASE + n as u16)),
            });
            backends.push(FakeBackend::start(backend_config, clock.clone(), spawner.clone())?);
        }
        let discovery_addresses = (0..config.gateways)
            .map(|g| (ClusterConfig::gateway_name(g), discovery_address(&network, g)))
            .collect();
        let discovery = Discovery::start(&discovery_addresses, listed, clock.clone(), spawner)?;
        let mut gateways = Vec::new();
        for n in 0..config.gateways {
            let name = ClusterConfig::gateway_name(n);
            links.tcp(&name, "discovery", link_address(&network, n, 8500), discovery_address(&network, n))?;
            for backend in 0..config.backends {
                let near = link_address(&network, n, BACKEND_PORT_BASE + backend as u16);
                links.tcp(
                    &name,
                    &ClusterConfig::backend_name(backend),
                    near,
                    backend_address(&network, backend, n),
                )?;
            }
            for other in (0..config.gateways).filter(|o| *o != n) {
                let near = |port: u16, a: usize, b: usize| link_address(&network, a, port + 1 + b as u16);
                let far = own_address(&network, other, TCP_PORT);
                links.tcp(&name, &ClusterConfig::gateway_name(other), near(TCP_PORT, n, other), far)?;
                if n < other {
                    let peer = ClusterConfig::gateway_name(other);
                    let a = (name.as_str(), own_address(&network, n, UDP_PORT), near(UDP_PORT, n, other));
                    let b = (peer.as_str(), own_address(&network, other, UDP_PORT), near(UDP_PORT, other, n));
                    links.udp(a, b)?;
                }
            }
            let text = render(&config.gateway_config, &config.placeholders(&network, n, folder.path()))?;
            let at = (own_address(&network, n, 6379), own_address(&network, n, 6382));
            gateways.push(GatewayProcess::new(
                &name,
                at,
                (&config.program, folder.path()),
                &text,
                clock.clone(),
            )?);
        }
        let event_log = EventLog::new(clock.clone());
        Ok(TestCluster {
            gateways,
            backends,
            discovery,
            links,
            event_log,
            config,
            clock,
            runtime,
            folder,
            network,
        })
    }

    /// Starts all gateways and waits until each answers.
    pub fn start(&mut self, timeout: Duration) -> io::Result<()> {
        self.gateways.iter_mut().try_for_each(GatewayProcess::start)?;
        self.gateways.iter_mut().try_for_each(|g| g.wait_ready(timeout))?;
        self.event_log.record(format_args!("{} gateways answer", self.gateways.len()));
        Ok(())
    }

    /// Simulated callers that call discovery alongside the gateways, at an address of their own. `fleet` is
    /// the size of the whole fleet.
    pub fn simulated_callers(&self, count: u64, fleet: u32) -> io::Result<SimulatedCallers> {
        let at = discovery_address(&self.network, self.config.gateways);
        self.discovery.add_listener("simulated-callers", at)?;
        let (clock, spawner) = (self.clock.clone(), self.runtime.spawner());
        SimulatedCallers::new(count, at, BackoffPolicy::for_callers(fleet), self.config.seed, clock, spawner)
    }

    /// Takes discovery down, or brings it up again. While it is down nothing listens, and gateways' open
    /// connections are reset.
    pub fn set_discovery_down(&self, is_down: bool) {
        let gateways = self.config.gateway_names();
        gateways.iter().for_each(|g| self.links.set_refused(g, "discovery", is_down));
        self.discovery.set_closed(is_down);
        self.discovery.set_mode(if is_down { Mode::Down } else { Mode::Normal });
        if is_down {
            gateways.iter().for_each(|g| self.links.reset(g, "discovery"));
        }
    }

    /// Times so far in which this machine did not run a thread that was ready.
    pub fn machine_stalls(&self) -> Vec<MachineStall> {
        self.runtime.machine_stalls()
    }

    /// The gateway of that name.
    pub fn gateway(&mut self, name: &str) -> io::Result<&mut GatewayProcess> {
        let unknown = || io::Error::new(io::ErrorKind::NotFound, format!("no gateway {name}"));
        self.gateways.iter_mut().find(|g| g.name == name).ok_or_else(unknown)
    }

    /// The backend of that name.
    pub fn backend(&self, name: &str) -> io::Result<&FakeBackend> {
        let unknown = || io::Error::new(io::ErrorKind::NotFound, format!("no backend {name}"));
        self.backends.iter().find(|b| b.config().name == name).ok_or_else(unknown)
    }

    /// Another configuration text with the placeholders of this gateway filled in.
    pub fn render_config(&self, gateway: usize, text: &str) -> io::Result<String> {
        render(text, &self.config.placeholders(&self.network, gateway, self.folder.path()))
    }

    /// The address for a gateway's iSCSI clients.
    pub fn iscsi_address(&self, gateway: usize) -> SocketAddr {
        own_address(&self.network, gateway, 3260)
    }

    /// Names of the gateways, with their addresses for clients.
    pub fn client_addresses(&self) -> Vec<(String, SocketAddr)> {
        self.gateways.iter().map(|g| (g.name.clone(), g.listen)).collect()
    }

    /// The components that faults can affect.
    pub fn fault_targets(&self) -> FaultTargets {
        FaultTargets {
            gateways: self.config.gateway_names(),
            backends: self.config.backend_names(),
            zones: self.config.zones.clone(),
        }
    }

    /// Gateways and backends of a zone.
    pub fn zone_members(&self, zone: &str) -> Vec<String> {
        let filter_by_zone = |names: Vec<String>| -> Vec<String> {
            let in_zone = |(n, name): (usize, String)| (self.config.zone_of(n) == zone).then_some(name);
            names.into_iter().enumerate().filter_map(in_zone).collect()
        };
        [filter_by_zone(self.config.gateway_names()), filter_by_zone(self.config.backend_names())].concat()
    }

    /// Everything that was logged in the run, together with what clients saw.
    pub fn run_record(&self, history: &History) -> RunRecord {
        let mut commands: Vec<_> = self.backends.iter().flat_map(FakeBackend::command_log).collect();
        commands.sort_by_key(|e| e.sequence);
        RunRecord {
            requests: history.requests.clone(),
            commands,
            sent_updates: self.discovery.sent_updates(),
            outages: self.gateways.iter().map(|g| (g.name.clone(), g.outages())).collect(),
            impairments: self.links.impairments(),
            machine_stalls: self.runtime.machine_stalls(),
        }
    }

    /// The store that holds the writes to a shard; the backends of the shard share it.
    pub fn shard_store(&self, shard: i64) -> Option<SharedStore> {
        self.backends.iter().find(|b| b.config().shard == shard).map(|b| b.config().store.clone())
    }

    /// Exits of gateway processes that no test asked for.
    pub fn crashes(&mut self) -> Vec<String> {
        self.gateways.iter_mut().flat_map(GatewayProcess::crashes).collect()
    }

    /// Requests that were sent since that time and served: they show whether the cluster has recovered.
    pub fn served_since(history: &History, since: Duration) -> impl Iterator<Item = &Request> {
        history.requests.iter().filter(move |r| r.sent.0 >= since && matches!(r.end, RequestEnd::Served(_)))
    }
}
