//! One direction of a UDP link.
use crate::engine::{pause, Spawner};
use crate::links::Pair;
use async_io::Async;
use rand::{rngs::SmallRng, Rng, SeedableRng};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Datagrams that may be on their way.
const ON_THE_WAY: usize = 4096;

/// Carries what comes at one socket on to `target`, from the other socket.
pub(crate) async fn run(
    spawner: Spawner,
    pair: Arc<Pair>,
    way: usize,
    here: Arc<UdpSocket>,
    there: Arc<UdpSocket>,
    target: SocketAddr,
    seed: u64,
) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let Ok(here) = here.try_clone().and_then(Async::new) else { return };
    let mut bytes = vec![0; 65_536];
    let coming = Arc::new(AtomicUsize::new(0));
    loop {
        // An error tells of an earlier datagram that nobody was there for.
        let Ok((count, _)) = here.recv_from(&mut bytes).await else { continue };
        let carried = &pair.ways[way].carried;
        let condition = pair.ways[way].condition();
        let lost = rng.random_bool(condition.loss.clamp(0.0, 1.0));
        if condition.cut || lost || coming.load(Ordering::Relaxed) >= ON_THE_WAY {
            carried.lost.fetch_add(1, Ordering::Relaxed);
            continue;
        }
        carried.datagrams.fetch_add(1, Ordering::Relaxed);
        let wire = condition.rate.map_or(0.0, |r| count as f64 / f64::from(r.max(1)));
        let late = condition.delay + std::time::Duration::from_secs_f64(wire);
        if late.is_zero() {
            let _ = there.send_to(&bytes[..count], target);
            continue;
        }
        let (datagram, there, coming) = (bytes[..count].to_vec(), there.clone(), coming.clone());
        coming.fetch_add(1, Ordering::Relaxed);
        spawner.spawn(async move {
            pause(late).await;
            let _ = there.send_to(&datagram, target);
            coming.fetch_sub(1, Ordering::Relaxed);
        });
    }
}
