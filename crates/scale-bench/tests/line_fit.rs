//! Line fits of exact data, of bent data, and of too few sizes.
#![allow(clippy::unwrap_used)]
use scale_bench::{fit_line, Error};

fn assert_close(actual: f64, expected: f64) {
    assert!(
        (actual - expected).abs() < 1e-9 * expected.abs().max(1.0),
        "{actual} is not close to {expected}"
    );
}

#[test]
fn fits_exact_data() {
    let points: Vec<_> = [100.0, 1_000.0, 4_000.0, 8_000.0].map(|x| (x, 7.0 + 0.25 * x)).into();
    let line = fit_line(&points, &[23_000.0, 4_000.0]).unwrap();
    assert_close(line.slope, 0.25);
    assert_close(line.intercept, 7.0);
    assert_close(line.residual_deviation.unwrap(), 0.0);
    assert_close(line.slope_error.unwrap(), 0.0);
    assert_close(line.bend_ratio.unwrap(), 1.0);
    assert_close(line.predictions[0].figure, 5_757.0);
    assert_close(line.predictions[0].error.unwrap(), 0.0);
    assert!(line.predictions[0].is_extrapolated && !line.predictions[1].is_extrapolated);
}

#[test]
fn reports_deviation_around_the_line() {
    // Four points, each off the line y = 10 by 1 or -1, leave a squared residual sum of 4 over two degrees of freedom.
    let points = [(0.0, 9.0), (0.0, 11.0), (10.0, 11.0), (10.0, 9.0)];
    let line = fit_line(&points, &[5.0]).unwrap();
    assert_close(line.slope, 0.0);
    assert_close(line.intercept, 10.0);
    assert_close(line.residual_deviation.unwrap(), 2.0_f64.sqrt());
    assert_close(line.slope_error.unwrap(), 2.0_f64.sqrt() / 10.0);
    assert_close(line.predictions[0].error.unwrap(), (2.0_f64 * 1.25).sqrt());
    assert_eq!((line.sizes[0].min, line.sizes[0].mean, line.sizes[0].max), (9.0, 10.0, 11.0));
    assert_eq!((line.sizes.len(), line.sizes[1].runs), (2, 2));
    assert_eq!(line.bend_ratio, None);
}

#[test]
fn reports_ratio_of_slopes_of_both_halves() {
    let bent = |x: f64| if x <= 300.0 { x } else { 300.0 + 4.0 * (x - 300.0) };
    let odd: Vec<_> = [100.0, 200.0, 300.0, 400.0, 500.0].map(|x| (x, bent(x))).into();
    assert_close(fit_line(&odd, &[]).unwrap().bend_ratio.unwrap(), 4.0);
    let even: Vec<_> = [100.0, 200.0, 400.0, 500.0].map(|x| (x, bent(x))).into();
    assert_close(fit_line(&even, &[]).unwrap().bend_ratio.unwrap(), 4.0);
    let level: Vec<_> = [(1.0, 5.0), (2.0, 5.0), (3.0, 6.0)].into();
    assert_eq!(fit_line(&level, &[]).unwrap().bend_ratio, None);
}

#[test]
fn reports_growth_exponent() {
    let square: Vec<_> = [3.0, 9.0, 40.0, 128.0].map(|x| (x, 0.5 * x * x)).into();
    assert_close(fit_line(&square, &[]).unwrap().exponent.unwrap(), 2.0);
    let level: Vec<_> = [3.0, 9.0, 40.0, 128.0].map(|x| (x, 7.0)).into();
    assert_close(fit_line(&level, &[]).unwrap().exponent.unwrap(), 0.0);
    assert_eq!(fit_line(&[(1.0, -1.0), (2.0, 3.0), (3.0, 0.0)], &[]).unwrap().exponent, None);
}

#[test]
fn fits_two_points_without_standard_errors() {
    let line = fit_line(&[(1.0, 2.0), (3.0, 6.0)], &[5.0]).unwrap();
    assert_close(line.predictions[0].figure, 10.0);
    assert_eq!(
        (line.residual_deviation, line.slope_error, line.bend_ratio, line.predictions[0].error),
        (None, None, None, None)
    );
}

#[test]
fn rejects_too_few_sizes_and_non_finite_values() {
    assert!(matches!(fit_line(&[], &[1.0]), Err(Error::TooFewSizes(0))));
    assert!(matches!(fit_line(&[(5.0, 1.0)], &[]), Err(Error::TooFewSizes(1))));
    assert!(matches!(fit_line(&[(5.0, 1.0), (5.0, 2.0), (5.0, 3.0)], &[]), Err(Error::TooFewSizes(1))));
    assert!(matches!(fit_line(&[(1.0, f64::NAN), (2.0, 1.0)], &[]), Err(Error::NotFinite)));
    assert!(matches!(fit_line(&[(f64::INFINITY, 1.0), (2.0, 1.0)], &[]), Err(Error::NotFinite)));
}
