//! The two firms: their documents, entry hosts, engine speeds and mix of callers.

use std::sync::Arc;

use carawayseam_config::{BackendKind, Document, EngineSpec};
use carawayseam_scheduler::Member;
use carawayseam_types::{ParseError, Tier, Tokens};

use crate::engine::Speed;
use crate::error::BenchError;

const BEN_SLAMA: &str = include_str!("../../../examples/ben-slama.yaml");
const KHAO_RANG: &str = include_str!("../../../examples/khao-rang.yaml");

/// The newer generation of hardware.
pub const NEWER: Speed = Speed {
    prefill: 8_000.0,
    decode: 800.0,
    decode_one: 60.0,
};
/// The older generation of hardware.
pub const OLDER: Speed = Speed {
    prefill: 4_000.0,
    decode: 400.0,
    decode_one: 40.0,
};
/// A plain service's server; its work is counted in units of 10 ms.
pub const SERVICE: Speed = Speed {
    prefill: 1.0,
    decode: 800.0,
    decode_one: 100.0,
};
/// Prompt tokens that cost as much compute as one answer token, on both generations.
pub const PREFILL_PER_DECODE: f64 = 10.0;
/// Work units of one plain call.
pub const SERVICE_UNITS: Tokens = Tokens(8);

/// Which firm.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
pub enum FirmName {
    /// Menuiserie Ben Slama & Fils.
    #[display("ben-slama")]
    BenSlama,
    /// Khao Rang Lift Pass Co.
    #[display("khao-rang")]
    KhaoRang,
}

impl FirmName {
    /// Both firms.
    pub const ALL: [Self; 2] = [Self::BenSlama, Self::KhaoRang];
}

impl std::str::FromStr for FirmName {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let found = Self::ALL.into_iter().find(|name| name.to_string() == text);
        found.ok_or_else(|| ParseError::new(text, "firm", "ben-slama or khao-rang"))
    }
}

/// Requests of one kind that one organisation sends in one tier.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Class {
    /// The organisation's place in the document.
    pub organisation: usize,
    /// The tier.
    pub tier: Tier,
    /// The route's place in the document.
    pub route: usize,
    /// Its part of the backend's offered work.
    pub weight: f64,
}

/// What a route's prompts look like.
#[derive(Debug, Clone, Copy)]
pub struct PromptShape {
    /// The shortest prompt.
    pub min: u32,
    /// The longest prompt.
    pub max: u32,
    /// The length of the shared beginning.
    pub prefix: Tokens,
    /// How many shared beginnings there are.
    pub prefixes: u64,
}

const LONG_PROMPT: PromptShape = PromptShape {
    min: 1_500,
    max: 4_500,
    prefix: Tokens(1_000),
    prefixes: 24,
};
const QUESTION_PROMPT: PromptShape = PromptShape {
    min: 300,
    max: 900,
    prefix: Tokens(200),
    prefixes: 12,
};
const TAG_PROMPT: PromptShape = PromptShape {
    min: 150,
    max: 450,
    prefix: Tokens(100),
    prefixes: 4,
};
const NO_PROMPT: PromptShape = PromptShape {
    min: 0,
    max: 0,
    prefix: Tokens(0),
    prefixes: 1,
};

/// A firm at its size of today.
#[derive(Debug, Clone)]
pub struct Firm {
    /// Which one.
    pub name: FirmName,
    /// Its document; no move is under way, and all engines run the serving version.
    pub document: Arc<Document>,
    /// Its entry hosts.
    pub members: Vec<Member>,
    /// Its callers.
    pub classes: Vec<Class>,
}

/// A class by the places of its organisation, tier and route.
const fn class(organisation: usize, tier: u8, route: usize, weight: f64) -> Class {
    Class {
        organisation,
        tier: Tier(tier),
        route,
        weight,
    }
}

// Routes in both documents: long, question, tag, unrepeatable call, idempotent call. Tags are
// about a quarter of the calls and a fiftieth of the work; long answers are three quarters of it.
const BEN_SLAMA_CLASSES: [Class; 12] = [
    class(0, 0, 0, 0.34),
    class(0, 0, 1, 0.06),
    class(1, 0, 0, 0.08),
    class(1, 0, 1, 0.02),
    class(2, 1, 0, 0.06),
    class(2, 1, 1, 0.10),
    class(3, 1, 1, 0.06),
    class(2, 2, 0, 0.16),
    class(3, 2, 0, 0.10),
    class(4, 2, 2, 0.02),
    class(0, 0, 3, 0.50),
    class(2, 1, 4, 0.50),
];
const KHAO_RANG_CLASSES: [Class; 13] = [
    class(0, 0, 0, 0.34),
    class(0, 0, 1, 0.06),
    class(1, 0, 0, 0.08),
    class(1, 0, 1, 0.02),
    class(1, 1, 0, 0.05),
    class(1, 1, 1, 0.05),
    class(2, 1, 1, 0.12),
    class(3, 1, 1, 0.06),
    class(3, 2, 0, 0.20),
    class(4, 2, 2, 0.02),
    class(0, 0, 3, 0.50),
    class(2, 1, 4, 0.40),
    class(3, 2, 4, 0.10),
];

impl Firm {
    /// Loads a firm.
    ///
    /// # Errors
    ///
    /// When its document or a name in it is not valid.
    pub fn load(name: FirmName) -> Result<Self, BenchError> {
        let (text, hosts, classes) = match name {
            FirmName::BenSlama => (BEN_SLAMA, 5, BEN_SLAMA_CLASSES.to_vec()),
            FirmName::KhaoRang => (KHAO_RANG, 4, KHAO_RANG_CLASSES.to_vec()),
        };
        let document = settled(Document::from_yaml(&name.to_string(), text)?);
        let members = members(&document, hosts)?;
        Ok(Self {
            name,
            document: Arc::new(document),
            members,
            classes,
        })
    }

    /// The speed of the engine at that place in the document.
    #[must_use]
    pub fn speed(&self, engine: usize) -> Speed {
        match (self.is_model(engine), engine.is_multiple_of(2)) {
            (false, _) => SERVICE,
            (true, true) => NEWER,
            (true, false) => OLDER,
        }
    }

    /// Whether the engine at that place runs a model.
    #[must_use]
    pub fn is_model(&self, engine: usize) -> bool {
        let backend = self.document.backend(&self.document.engines[engine].backend);
        backend.is_some_and(|backend| backend.kind == BackendKind::Model)
    }

    /// Whether a class's route leads to a model.
    #[must_use]
    pub fn is_model_class(&self, class: Class) -> bool {
        self.document.routes[class.route].max_output > Tokens(0)
    }

    /// The prompts of a class.
    #[must_use]
    pub fn prompt_shape(&self, class: Class) -> PromptShape {
        match self.document.routes[class.route].max_output {
            Tokens(0) => NO_PROMPT,
            Tokens(1..=100) => TAG_PROMPT,
            Tokens(101..=1_000) => QUESTION_PROMPT,
            _ => LONG_PROMPT,
        }
    }

    /// Answer tokens a second of the engines that `counts` and run a model, or a service.
    #[must_use]
    pub fn capacity(&self, model: bool, counts: impl Fn(&EngineSpec) -> bool) -> f64 {
        let engines = self.document.engines.iter().enumerate();
        let counted = engines.filter(|(at, spec)| self.is_model(*at) == model && counts(spec));
        counted.map(|(at, _)| self.speed(at).decode).sum()
    }
}

/// The document with its moves finished or not begun: one version for each backend.
fn settled(mut document: Document) -> Document {
    document.moves.clear();
    for engine in &mut document.engines {
        let backend = document.backends.iter().find(|b| b.name == engine.backend);
        if let Some(backend) = backend {
            engine.version = backend.version.clone();
        }
    }
    document
}

/// Entry hosts, spread over the zones in turn.
fn members(document: &Document, count: usize) -> Result<Vec<Member>, ParseError> {
    let zones = document.zones.iter().cycle().take(count);
    let member = |(at, zone): (usize, &carawayseam_types::ZoneId)| {
        Ok(Member {
            host: format!("entry-{}", at + 1).parse()?,
            zone: zone.clone(),
        })
    };
    zones.enumerate().map(member).collect()
}
