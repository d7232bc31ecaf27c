//! How fast runners work on each model, learnt from the streams that pass.
//!
//! The configuration tells sizes but no speeds, and models of one deployment differ by a factor
//! of eight. What is learnt of one model counts a little for others of its size, so that a
//! model that is asked for the first time is not taken for the slowest.

use crate::gateway::Model;
use crate::gateway::line_fit::{Line, LineFit};
use crate::inventory::Name;
use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

/// Taken until anything is known, in milliseconds for a token: between the runners met so far,
/// which take 0.006 to 0.05 for reading.
const READ_MS_PER_TOKEN: f64 = 0.04;
/// The same for a generated token of a stream among others.
const GENERATE_MS_PER_TOKEN: f64 = 8.0;
/// From sending to the first event beside the reading: the way there and back and two steps.
const FIRST_MS: f64 = 30.0;
/// How many streams what is assumed, and what is known of models of the same size, weigh.
const ASSUMED_WEIGHT: f64 = 1.0;
const SAME_SIZE_WEIGHT: f64 = 4.0;
/// The same for what is assumed of a stream's length: callers ask for far more tokens at most than they
/// get, so that it is several times too long, and a VM of a large fleet sees few streams of a model.
const ASSUMED_STREAM_WEIGHT: f64 = 0.15;
/// Tokens of the prompt at which what is assumed of a first event is entered.
const ASSUMED_TOKENS: f64 = 1_000.0;
/// Bounds on what is believed of one token, in milliseconds: far beyond any engine, so that a
/// runner that is ill does not make a model look endless or free.
const READ_MS_BOUNDS: (f64, f64) = (0.001, 0.5);
const GENERATE_MS_BOUNDS: (f64, f64) = (0.1, 100.0);

/// What is known of one model, or of all of one size.
#[derive(Clone, Debug, Default)]
struct Known {
    /// From the tokens of a prompt to the time of its first event, in milliseconds.
    first_event: LineFit,
    /// From generated tokens to the time from the first event to the end, in milliseconds.
    stream: LineFit,
}

/// The speeds of models.
#[derive(Debug, Default)]
pub(crate) struct Speeds {
    models: RefCell<HashMap<Name, Known>>,
    sizes: RefCell<HashMap<u64, Known>>,
}

impl Speeds {
    /// Notes the first event of a prompt that met no other prompt at its runner.
    pub(crate) fn note_first_event(&self, model: &Model, prompt_tokens: u32, took: Duration) {
        self.note(model, |known| {
            known
                .first_event
                .note(f64::from(prompt_tokens), millis(took));
        });
    }

    /// Notes a stream that came whole from one runner.
    pub(crate) fn note_stream(&self, model: &Model, max_tokens: u32, took: Duration) {
        self.note(model, |known| {
            known.stream.note(f64::from(max_tokens), millis(took));
        });
    }

    /// How long a runner reads a prompt, in milliseconds.
    pub(crate) fn read_ms(&self, model: &Model, prompt_tokens: u32) -> f64 {
        let mut fit = self.combined(model, |known| &known.first_event);
        let assumed = |tokens: f64| FIRST_MS + tokens * READ_MS_PER_TOKEN;
        fit.add_assumed(0.0, assumed(0.0), ASSUMED_WEIGHT);
        fit.add_assumed(ASSUMED_TOKENS, assumed(ASSUMED_TOKENS), ASSUMED_WEIGHT);
        let Line { slope, .. } = fit.line();
        f64::from(prompt_tokens) * slope.clamp(READ_MS_BOUNDS.0, READ_MS_BOUNDS.1)
    }

    /// How long a stream of so many tokens lasts, in milliseconds.
    pub(crate) fn stream_ms(&self, model: &Model, max_tokens: u32) -> f64 {
        let mut fit = self.combined(model, |known| &known.stream);
        let tokens = f64::from(max_tokens);
        let assumed_ms = tokens * GENERATE_MS_PER_TOKEN;
        fit.add_assumed(tokens, assumed_ms, ASSUMED_STREAM_WEIGHT);
        let mean = fit.ratio();
        tokens * mean.clamp(GENERATE_MS_BOUNDS.0, GENERATE_MS_BOUNDS.1)
    }

    fn note(&self, model: &Model, note: impl Fn(&mut Known)) {
        let mut models = self.models.borrow_mut();
        note(models.entry(model.name.clone()).or_default());
        let mut sizes = self.sizes.borrow_mut();
        note(sizes.entry(size_of(model)).or_default());
    }

    /// What is known of a model, with a little of what is known of its size.
    fn combined(&self, model: &Model, part: impl Fn(&Known) -> &LineFit) -> LineFit {
        let sizes = self.sizes.borrow();
        let of_size = sizes.get(&size_of(model)).map(&part);
        let of_size = of_size.map(|fit| fit.limited(SAME_SIZE_WEIGHT));
        let mut fit = of_size.unwrap_or_default();
        if let Some(known) = self.models.borrow().get(&model.name) {
            fit.add(part(known));
        }
        fit
    }
}

fn size_of(model: &Model) -> u64 {
    model.weights_mb.round() as u64
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
