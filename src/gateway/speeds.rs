//! Estimates how fast runners process each model, from the streams that this VM relays.
//!
//! The configuration contains the sizes of models but not their speeds, and models of one
//! deployment differ by a factor of eight. Observations of one model also count with a low weight
//! for others of the same size, so that a model without observations isn't assumed to be slow.

use crate::gateway::Model;
use crate::gateway::line_fit::{Line, LineFit};
use crate::inventory::Name;
use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

/// Prefill time assumed without observations, in milliseconds per token. Runners take from 0.006
/// to 0.05.
const PREFILL_MS_PER_TOKEN: f64 = 0.04;
/// Generation time assumed without observations, in milliseconds per token of a stream that shares
/// its runner with others.
const GENERATE_MS_PER_TOKEN: f64 = 8.0;
/// Time from sending a prompt to its first event in addition to the prefill, in milliseconds: the
/// network round trip and two generation steps.
const FIRST_EVENT_OVERHEAD_MS: f64 = 30.0;
/// Weights of the assumed prefill speed and of all observations of models of the same size, in
/// streams.
const ASSUMED_WEIGHT: f64 = 1.0;
const SAME_SIZE_WEIGHT: f64 = 4.0;
/// Weight of the assumed stream duration, in streams. The assumption is several times too long,
/// because callers set token limits far above what they get, and a VM of a large fleet sees only
/// few streams of a model to correct it.
const ASSUMED_STREAM_WEIGHT: f64 = 0.15;
/// Prompt length at which the assumed time to the first event is added to the fit, in tokens.
const ASSUMED_PROMPT_TOKENS: f64 = 1_000.0;
/// Bounds on the estimated times, in milliseconds per token. They lie far outside the range of any
/// engine and keep a faulty runner from making a model appear infinitely slow or free.
const PREFILL_MS_BOUNDS: (f64, f64) = (0.001, 0.5);
const GENERATE_MS_BOUNDS: (f64, f64) = (0.1, 100.0);

/// The observations of one model, or of all models of one size.
#[derive(Clone, Debug, Default)]
struct Fits {
    /// Time to the first event in milliseconds, by prompt tokens.
    first_event: LineFit,
    /// Time from the first event to the end in milliseconds, by the token limit of the request.
    stream: LineFit,
}

/// Speed estimates for all models.
#[derive(Debug, Default)]
pub(crate) struct Speeds {
    models: RefCell<HashMap<Name, Fits>>,
    size_classes: RefCell<HashMap<u64, Fits>>,
}

impl Speeds {
    /// Records the time to the first event of a prompt that found no other prompt on its runner.
    pub(crate) fn note_first_event(&self, model: &Model, prompt_tokens: u32, took: Duration) {
        self.note(model, |fits| {
            fits.first_event
                .add_point(f64::from(prompt_tokens), millis(took));
        });
    }

    /// Records the duration of a stream that one runner generated from beginning to end.
    pub(crate) fn note_stream(&self, model: &Model, max_tokens: u32, took: Duration) {
        self.note(model, |fits| {
            fits.stream.add_point(f64::from(max_tokens), millis(took));
        });
    }

    /// Estimates the prefill time of a prompt, in milliseconds.
    pub(crate) fn prefill_ms(&self, model: &Model, prompt_tokens: u32) -> f64 {
        let mut fit = self.combined(model, |fits| &fits.first_event);
        let assumed = |tokens: f64| FIRST_EVENT_OVERHEAD_MS + tokens * PREFILL_MS_PER_TOKEN;
        fit.add_weighted_point(0.0, assumed(0.0), ASSUMED_WEIGHT);
        fit.add_weighted_point(
            ASSUMED_PROMPT_TOKENS,
            assumed(ASSUMED_PROMPT_TOKENS),
            ASSUMED_WEIGHT,
        );
        let Line { slope, .. } = fit.line();
        f64::from(prompt_tokens) * slope.clamp(PREFILL_MS_BOUNDS.0, PREFILL_MS_BOUNDS.1)
    }

    /// Estimates the duration of a stream with the given token limit, in milliseconds.
    pub(crate) fn stream_duration_ms(&self, model: &Model, max_tokens: u32) -> f64 {
        let mut fit = self.combined(model, |fits| &fits.stream);
        let tokens = f64::from(max_tokens);
        let assumed_ms = tokens * GENERATE_MS_PER_TOKEN;
        fit.add_weighted_point(tokens, assumed_ms, ASSUMED_STREAM_WEIGHT);
        let mean = fit.ratio();
        tokens * mean.clamp(GENERATE_MS_BOUNDS.0, GENERATE_MS_BOUNDS.1)
    }

    fn note(&self, model: &Model, note: impl Fn(&mut Fits)) {
        let mut models = self.models.borrow_mut();
        note(models.entry(model.name.clone()).or_default());
        let mut size_classes = self.size_classes.borrow_mut();
        note(size_classes.entry(size_class(model)).or_default());
    }

    /// Returns the fit for a model, to which models of the same size contribute a limited weight.
    fn combined(&self, model: &Model, select: impl Fn(&Fits) -> &LineFit) -> LineFit {
        let size_classes = self.size_classes.borrow();
        let of_size = size_classes.get(&size_class(model)).map(&select);
        let of_size = of_size.map(|fit| fit.with_max_weight(SAME_SIZE_WEIGHT));
        let mut fit = of_size.unwrap_or_default();
        if let Some(fits) = self.models.borrow().get(&model.name) {
            fit.merge(select(fits));
        }
        fit
    }
}

fn size_class(model: &Model) -> u64 {
    model.weights_mb.round() as u64
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
