//! One request in the batch.

use carawayseam_external::engine::{
    AttemptRef, Frame, FrameBody, GenerateRequest, KvExport, estimate_tokens,
};
use carawayseam_types::{AttemptId, VersionId};
use tokio::sync::mpsc::UnboundedSender;

use crate::answer::{Answer, CRASH_MARK};
use crate::faults::BadKind;

/// How many times its usual time a slow bad version takes.
const BAD_SLOWNESS: f64 = 10.0;

/// What goes out on a stream.
#[derive(Debug)]
pub(crate) enum Emission {
    Frame(Frame),
    /// The connection breaks here.
    Cut,
}

/// How a sequence stands after a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Standing {
    Going,
    /// It ended with its whole answer.
    Whole,
    /// It ended otherwise; its prefill was wasted.
    Broken,
}

/// A request with its progress.
#[derive(Debug)]
pub(crate) struct Sequence {
    pub(crate) attempt: AttemptRef,
    pub(crate) prompt: String,
    pub(crate) version: VersionId,
    answer: Answer,
    length: u32,
    next: u32,
    prompt_tokens: u32,
    kv: Option<KvExport>,
    prefill_left: f64,
    pub(crate) prefill_spent: f64,
    credit: f64,
    slowness: f64,
    cut_at: Option<u32>,
    crossed: bool,
    cancelled: bool,
    tx: UnboundedSender<Emission>,
}

impl Sequence {
    pub(crate) fn new(req: GenerateRequest, bad: Option<BadKind>, tx: UnboundedSender<Emission>) -> Self {
        let answer = Answer::to(&req.prompt);
        let length = answer.length(req.max_output_tokens);
        Self {
            answer,
            length,
            next: req.resume_offset.min(length),
            prompt_tokens: estimate_tokens(&req.prompt).0 + req.resume_offset,
            attempt: req.attempt,
            prompt: req.prompt,
            version: req.version,
            kv: req.kv,
            prefill_left: 0.0,
            prefill_spent: 0.0,
            credit: 0.0,
            slowness: if bad == Some(BadKind::Slow) {
                BAD_SLOWNESS
            } else {
                1.0
            },
            cut_at: (bad == Some(BadKind::Unfinished)).then_some(length / 2),
            crossed: false,
            cancelled: false,
            tx,
        }
    }

    /// Cuts the stream after so many tokens, if it would be longer.
    pub(crate) fn cut_after(&mut self, tokens: u32) {
        self.cut_at = Some(self.cut_at.map_or(tokens, |at| at.min(tokens)));
    }

    /// Sends a frame of another attempt before each frame.
    pub(crate) const fn cross_frames(&mut self) {
        self.crossed = true;
    }

    pub(crate) const fn cancel(&mut self) {
        self.cancelled = true;
    }

    pub(crate) fn crashes(&self) -> bool {
        self.prompt.contains(CRASH_MARK)
    }

    pub(crate) const fn prompt_tokens(&self) -> u32 {
        self.prompt_tokens
    }

    pub(crate) fn is_prefilled(&self) -> bool {
        self.prefill_left <= 0.0
    }

    /// Enters the batch; the cache holds `cached` tokens of the prompt. Gives the tokens to prefill.
    pub(crate) fn begin(&mut self, cached: u32) -> u32 {
        let imported = self.kv.as_ref().filter(|kv| kv.content == self.answer.digest());
        let held = imported.map_or(0, |kv| kv.tokens).max(cached);
        let left = self.prompt_tokens.saturating_sub(held);
        self.prefill_left = f64::from(left);
        left
    }

    /// Takes what it needs from `budget`; true when the prefill was done by it.
    pub(crate) fn prefill(&mut self, budget: &mut f64) -> bool {
        let share = *budget / self.slowness;
        let spent = share.min(self.prefill_left);
        *budget -= spent * self.slowness;
        self.prefill_left -= spent;
        self.prefill_spent += spent;
        self.is_prefilled()
    }

    /// Decodes what `rate` allows, and sends it.
    pub(crate) fn decode(&mut self, tokens: f64) -> (u32, Standing) {
        self.credit += tokens / self.slowness;
        let limit = self.cut_at.map_or(self.length, |at| at.min(self.length));
        let count = (self.credit as u32).min(limit.saturating_sub(self.next));
        self.credit = self.credit.fract();
        if count > 0 {
            self.send_tokens(count);
        }
        let cut = limit < self.length;
        match self.next >= limit {
            false => (count, Standing::Going),
            true if cut => (count, self.finish(Emission::Cut, Standing::Broken)),
            true => {
                let end = self.frame(FrameBody::End { tokens: self.length });
                (count, self.finish(end, Standing::Whole))
            }
        }
    }

    /// Whether its caller cancelled it or went away; tells the stream why it ends.
    pub(crate) fn is_abandoned(&self) -> bool {
        if self.cancelled {
            let message = "cancelled".to_owned();
            self.finish(self.frame(FrameBody::Failed { message }), Standing::Broken);
        }
        self.cancelled || self.tx.is_closed()
    }

    /// What another engine of the same version may take over.
    pub(crate) fn export(&self) -> KvExport {
        let tokens = f64::from(self.prompt_tokens) - self.prefill_left;
        KvExport {
            version: self.version.clone(),
            content: self.answer.digest(),
            tokens: tokens as u32 + self.next,
        }
    }

    fn send_tokens(&mut self, count: u32) {
        let offset = self.next;
        let text = self.answer.text(offset, count);
        if self.crossed {
            let crossed = Frame {
                attempt: AttemptId(self.attempt.attempt.0.wrapping_sub(1)),
                body: FrameBody::Tokens {
                    offset,
                    count,
                    text: text.to_uppercase(),
                },
            };
            self.finish(Emission::Frame(crossed), Standing::Going);
        }
        let frame = self.frame(FrameBody::Tokens { offset, count, text });
        self.finish(frame, Standing::Going);
        self.next += count;
    }

    const fn frame(&self, body: FrameBody) -> Emission {
        Emission::Frame(Frame {
            attempt: self.attempt.attempt,
            body,
        })
    }

    /// Sends, and gives `standing` unless the caller went away.
    fn finish(&self, emission: Emission, standing: Standing) -> Standing {
        match self.tx.send(emission) {
            Ok(()) => standing,
            Err(_) => Standing::Broken,
        }
    }
}
