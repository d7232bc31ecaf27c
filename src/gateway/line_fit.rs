//! A straight line through points that come one by one, older ones counting less.

/// What is left of the weight of all earlier points when one comes: some fifty count.
const KEPT: f64 = 0.98;
/// A point this far beyond the line, as a multiple of what the line gives, is left out: one slow
/// server must not bend it. Each one makes the line weigh less, so that a lasting change
/// counts after some fifty points.
const MAX_EXCESS: f64 = 2.0;
/// Points from which the line is trusted to tell what is too far beyond it.
const TRUSTED_WEIGHT: f64 = 8.0;

/// Sums over the points, from which the line of least squares follows.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LineFit {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

/// A line: `intercept + slope * x`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Line {
    /// The value at 0.
    pub(crate) intercept: f64,
    /// The growth for each unit.
    pub(crate) slope: f64,
}

impl LineFit {
    /// Takes one point in.
    pub(crate) fn note(&mut self, x: f64, y: f64) {
        let is_outside = self.weight >= TRUSTED_WEIGHT && self.is_beyond(x, y);
        *self = self.scaled(KEPT);
        if !is_outside {
            self.add_assumed(x, y, 1.0);
        }
    }

    /// Takes a point in with a weight of its own.
    pub(crate) fn add_assumed(&mut self, x: f64, y: f64, weight: f64) {
        self.weight += weight;
        self.x += weight * x;
        self.y += weight * y;
        self.xx += weight * x * x;
        self.xy += weight * x * y;
    }

    /// Takes all points of another one in.
    pub(crate) fn add(&mut self, other: &Self) {
        self.weight += other.weight;
        self.x += other.x;
        self.y += other.y;
        self.xx += other.xx;
        self.xy += other.xy;
    }

    /// The same with `weight` at most.
    pub(crate) fn limited(&self, weight: f64) -> Self {
        self.scaled((weight / self.weight.max(weight)).min(1.0))
    }

    /// The line of least squares; a level one where all points have the same `x`.
    pub(crate) fn line(&self) -> Line {
        if self.weight <= 0.0 {
            return Line {
                intercept: 0.0,
                slope: 0.0,
            };
        }
        let (mean_x, mean_y) = (self.x / self.weight, self.y / self.weight);
        let spread = self.xx / self.weight - mean_x * mean_x;
        let slope = if spread > f64::EPSILON * mean_x.max(1.0) {
            (self.xy / self.weight - mean_x * mean_y) / spread
        } else {
            0.0
        };
        Line {
            intercept: mean_y - slope * mean_x,
            slope,
        }
    }

    /// The sum of `y` for each unit of `x`.
    pub(crate) fn ratio(&self) -> f64 {
        if self.x > 0.0 { self.y / self.x } else { 0.0 }
    }

    fn is_beyond(&self, x: f64, y: f64) -> bool {
        let Line { intercept, slope } = self.line();
        y > MAX_EXCESS * (intercept + slope * x).max(1.0)
    }

    fn scaled(&self, factor: f64) -> Self {
        Self {
            weight: self.weight * factor,
            x: self.x * factor,
            y: self.y * factor,
            xx: self.xx * factor,
            xy: self.xy * factor,
        }
    }
}
