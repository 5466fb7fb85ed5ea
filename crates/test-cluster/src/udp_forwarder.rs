//! Forwards one direction of a UDP link.
use crate::links::Pair;
use crate::runtime::{sleep, Spawner};
use async_io::Async;
use rand::{rngs::SmallRng, Rng, SeedableRng};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Limit on the datagrams that are delayed at the same time.
const MAX_DELAYED_DATAGRAMS: usize = 4096;

/// Forwards datagrams from the source socket to `target`, sending from the destination socket.
pub(crate) async fn run(
    spawner: Spawner,
    pair: Arc<Pair>,
    direction: usize,
    source: Arc<UdpSocket>,
    destination: Arc<UdpSocket>,
    target: SocketAddr,
    seed: u64,
) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let Ok(source) = source.try_clone().and_then(Async::new) else { return };
    let mut bytes = vec![0; 65_536];
    let delayed = Arc::new(AtomicUsize::new(0));
    loop {
        // An error reports an earlier datagram that nothing received.
        let Ok((count, _)) = source.recv_from(&mut bytes).await else { continue };
        let traffic = &pair.directions[direction].traffic;
        let condition = pair.directions[direction].condition();
        let is_lost = rng.random_bool(condition.loss_share.clamp(0.0, 1.0));
        if condition.is_cut || is_lost || delayed.load(Ordering::Relaxed) >= MAX_DELAYED_DATAGRAMS {
            traffic.lost.fetch_add(1, Ordering::Relaxed);
            continue;
        }
        traffic.datagrams.fetch_add(1, Ordering::Relaxed);
        let transmit_s = condition.max_bytes_s.map_or(0.0, |r| count as f64 / f64::from(r.max(1)));
        let delay = condition.delay + std::time::Duration::from_secs_f64(transmit_s);
        if delay.is_zero() {
            let _ = destination.send_to(&bytes[..count], target);
            continue;
        }
        let (datagram, destination, delayed) =
            (bytes[..count].to_vec(), destination.clone(), delayed.clone());
        delayed.fetch_add(1, Ordering::Relaxed);
        spawner.spawn(async move {
            sleep(delay).await;
            let _ = destination.send_to(&datagram, target);
            delayed.fetch_sub(1, Ordering::Relaxed);
        });
    }
}
