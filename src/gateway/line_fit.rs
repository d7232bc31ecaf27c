//! Fits a straight line to a series of points, with exponentially decreasing weights.

/// Factor applied to the weight of all earlier points with each new one, so that about the last
/// fifty count.
const DECAY: f64 = 0.98;
/// Points above this multiple of the value predicted by the line are skipped as outliers, so that
/// one slow server does not distort it. Each skipped point still decays the weight of the line,
/// so that a lasting change is accepted after about fifty points.
const OUTLIER_FACTOR: f64 = 2.0;
/// Weight of the points from which the line is reliable enough to detect outliers.
const MIN_OUTLIER_WEIGHT: f64 = 8.0;

/// Weighted sums over the points, from which the least-squares line is computed.
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
    /// The value at `x = 0`.
    pub(crate) intercept: f64,
    /// The increase per unit of `x`.
    pub(crate) slope: f64,
}

impl LineFit {
    /// Adds a point with weight 1 and decays all earlier ones; skips outliers.
    pub(crate) fn add_point(&mut self, x: f64, y: f64) {
        let is_skipped = self.weight >= MIN_OUTLIER_WEIGHT && self.is_outlier(x, y);
        *self = self.scaled(DECAY);
        if !is_skipped {
            self.add_weighted_point(x, y, 1.0);
        }
    }

    /// Adds a point with the given weight, without decaying earlier ones.
    pub(crate) fn add_weighted_point(&mut self, x: f64, y: f64, weight: f64) {
        self.weight += weight;
        self.x += weight * x;
        self.y += weight * y;
        self.xx += weight * x * x;
        self.xy += weight * x * y;
    }

    /// Adds all points of another fit.
    pub(crate) fn merge(&mut self, other: &Self) {
        self.weight += other.weight;
        self.x += other.x;
        self.y += other.y;
        self.xx += other.xx;
        self.xy += other.xy;
    }

    /// Returns the fit, scaled down to a total weight of at most `weight`.
    pub(crate) fn with_max_weight(&self, weight: f64) -> Self {
        self.scaled((weight / self.weight.max(weight)).min(1.0))
    }

    /// Returns the least-squares line; a horizontal one if all points have the same `x`.
    pub(crate) fn line(&self) -> Line {
        if self.weight <= 0.0 {
            return Line {
                intercept: 0.0,
                slope: 0.0,
            };
        }
        let (mean_x, mean_y) = (self.x / self.weight, self.y / self.weight);
        let variance = self.xx / self.weight - mean_x * mean_x;
        let slope = if variance > f64::EPSILON * mean_x.max(1.0) {
            (self.xy / self.weight - mean_x * mean_y) / variance
        } else {
            0.0
        };
        Line {
            intercept: mean_y - slope * mean_x,
            slope,
        }
    }

    /// Returns the sum of all `y` divided by the sum of all `x`, or 0 without points.
    pub(crate) fn ratio(&self) -> f64 {
        if self.x > 0.0 { self.y / self.x } else { 0.0 }
    }

    fn is_outlier(&self, x: f64, y: f64) -> bool {
        let Line { intercept, slope } = self.line();
        y > OUTLIER_FACTOR * (intercept + slope * x).max(1.0)
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
