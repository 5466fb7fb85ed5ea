//! Latency quantiles.
use scatter_gather::LatencyHistogram;
use std::time::Duration;

/// The upper bound of the bucket that a duration falls in.
fn upper_bound(span: Duration) -> Duration {
    let mut latencies = LatencyHistogram::default();
    latencies.record(span);
    latencies.quantile(1.0).unwrap_or_default()
}

#[test]
fn bucket_bound_exceeds_its_durations_by_at_most_a_quarter() {
    for span_us in (0..100_000).chain([1 << 20, (1 << 20) - 1, 30_000_000]) {
        let bound_us = upper_bound(Duration::from_micros(span_us)).as_micros() as u64;
        let is_close = bound_us as f64 <= span_us as f64 * 1.25 + 1.0;
        assert!(bound_us >= span_us && is_close, "{span_us} {bound_us}");
    }
    // The upper bound of the last of 104 buckets, four per power of two.
    assert_eq!(upper_bound(Duration::from_micros(u64::MAX)), Duration::from_micros((8 << 24) - 1));
}

#[test]
fn newer_measurements_outweigh_older_ones() {
    let mut latencies = LatencyHistogram::default();
    assert_eq!(latencies.quantile(0.5), None);
    (0..1000).for_each(|_| latencies.record(Duration::from_millis(400)));
    (0..400).for_each(|_| latencies.record(Duration::from_millis(20)));
    assert!(latencies.quantile(0.9).is_some_and(|latency| latency < Duration::from_millis(30)));
    assert!(latencies.count() <= LatencyHistogram::MAX_COUNT);
}
