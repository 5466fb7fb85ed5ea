//! Lines through exact data, through data that bends, and through too few sizes.
#![allow(clippy::unwrap_used)]
use scale_bench::{slope, Error};

fn near(one: f64, other: f64) {
    assert!((one - other).abs() < 1e-9 * other.abs().max(1.0), "{one} and {other}");
}

#[test]
fn exact_data_gives_its_line() {
    let points: Vec<_> = [100.0, 1_000.0, 4_000.0, 8_000.0].map(|x| (x, 7.0 + 0.25 * x)).into();
    let line = slope(&points, &[23_000.0, 4_000.0]).unwrap();
    near(line.slope, 0.25);
    near(line.intercept, 7.0);
    near(line.spread.unwrap(), 0.0);
    near(line.slope_error.unwrap(), 0.0);
    near(line.bend.unwrap(), 1.0);
    near(line.at[0].figure, 5_757.0);
    near(line.at[0].error.unwrap(), 0.0);
    assert!(line.at[0].beyond && !line.at[1].beyond);
}

#[test]
fn the_spread_of_the_plays_is_told() {
    // Off the line 10 by 1 and -1 at each size: five points off by 1, three degrees of freedom less none.
    let points = [(0.0, 9.0), (0.0, 11.0), (10.0, 11.0), (10.0, 9.0)];
    let line = slope(&points, &[5.0]).unwrap();
    near(line.slope, 0.0);
    near(line.intercept, 10.0);
    near(line.spread.unwrap(), 2.0_f64.sqrt());
    near(line.slope_error.unwrap(), 2.0_f64.sqrt() / 10.0);
    near(line.at[0].error.unwrap(), (2.0_f64 * 1.25).sqrt());
    assert_eq!((line.sizes[0].min, line.sizes[0].mean, line.sizes[0].max), (9.0, 10.0, 11.0));
    assert_eq!((line.sizes.len(), line.sizes[1].plays), (2, 2));
    assert_eq!(line.bend, None);
}

#[test]
fn a_bend_shows_as_the_ratio_of_the_halves() {
    let bent = |x: f64| if x <= 300.0 { x } else { 300.0 + 4.0 * (x - 300.0) };
    let odd: Vec<_> = [100.0, 200.0, 300.0, 400.0, 500.0].map(|x| (x, bent(x))).into();
    near(slope(&odd, &[]).unwrap().bend.unwrap(), 4.0);
    let even: Vec<_> = [100.0, 200.0, 400.0, 500.0].map(|x| (x, bent(x))).into();
    near(slope(&even, &[]).unwrap().bend.unwrap(), 4.0);
    let level: Vec<_> = [(1.0, 5.0), (2.0, 5.0), (3.0, 6.0)].into();
    assert_eq!(slope(&level, &[]).unwrap().bend, None);
}

#[test]
fn the_power_with_which_a_figure_grows_is_told() {
    let square: Vec<_> = [3.0, 9.0, 40.0, 128.0].map(|x| (x, 0.5 * x * x)).into();
    near(slope(&square, &[]).unwrap().power.unwrap(), 2.0);
    let level: Vec<_> = [3.0, 9.0, 40.0, 128.0].map(|x| (x, 7.0)).into();
    near(slope(&level, &[]).unwrap().power.unwrap(), 0.0);
    assert_eq!(slope(&[(1.0, -1.0), (2.0, 3.0), (3.0, 0.0)], &[]).unwrap().power, None);
}

#[test]
fn two_points_give_a_line_without_an_error() {
    let line = slope(&[(1.0, 2.0), (3.0, 6.0)], &[5.0]).unwrap();
    near(line.at[0].figure, 10.0);
    assert_eq!((line.spread, line.slope_error, line.bend, line.at[0].error), (None, None, None, None));
}

#[test]
fn too_few_sizes_are_an_error() {
    assert!(matches!(slope(&[], &[1.0]), Err(Error::TooFewSizes(0))));
    assert!(matches!(slope(&[(5.0, 1.0)], &[]), Err(Error::TooFewSizes(1))));
    assert!(matches!(slope(&[(5.0, 1.0), (5.0, 2.0), (5.0, 3.0)], &[]), Err(Error::TooFewSizes(1))));
    assert!(matches!(slope(&[(1.0, f64::NAN), (2.0, 1.0)], &[]), Err(Error::NotFinite)));
    assert!(matches!(slope(&[(f64::INFINITY, 1.0), (2.0, 1.0)], &[]), Err(Error::NotFinite)));
}
