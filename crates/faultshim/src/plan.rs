//! The fault plan, which says which system calls fail, how and how often. It is text with one rule a line; this module
//! makes no system call itself. In this crate, a "call" is a call of one of the wrapped functions of the C library.
//!
//! ```text
//! write torn=EIO                 each write to the folder writes half, and the next write on the descriptor fails with EIO
//! accept ECONNABORTED chance=0.3 each call fails with a probability of 0.3
//! unlink EIO nth=2 count=1       calls from the second on fail, but at most one of them: only the second
//! send stall=150 chance=0.05     the call is delayed by 150 ms with a probability of 0.05
//! recv short                     each call is made with half of the requested size
//! wall 3600000000                the wall clock is ahead by so many microseconds, here by an hour
//! seed 7                         the seed of the probabilities
//! ```

use std::ffi::c_int;

/// What happens to a call into which a fault is injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The call fails with this error number.
    Fails(c_int),
    /// The call is made with half of the requested size, rounded up. No effect on functions without a size.
    Short,
    /// For `write`: the call is made with half of the requested size, rounded up, and the next write on the descriptor fails
    /// with this error number. Any other function fails at once with this error number.
    Torn(c_int),
    /// The call is delayed by this many milliseconds.
    Stalls(u64),
}

/// A rule of the plan for the system calls of one name, and its counts.
#[derive(Clone, Debug)]
pub struct Rule {
    /// The name of the system call.
    pub call: String,
    effect: Effect,
    /// The first call that may get a fault, counted from 1; later ones may too.
    first_call: u64,
    /// The most calls that get a fault.
    max_faults: u64,
    /// The probability that a call gets a fault.
    probability: f64,
    /// The number of calls so far to which no earlier rule of the plan applied.
    calls_seen: u64,
    /// The number of calls so far that got a fault.
    faults_injected: u64,
}

/// The rules in force, with the state of the random generator.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    rules: Vec<Rule>,
    /// The offset that is added to the wall clock, in microseconds.
    pub wall_offset_micros: i64,
    /// The state of the random generator, which is never 0 in a parsed plan.
    random_state: u64,
}

/// The error number of this name; `None` for names that plans do not support.
fn error_number(name: &str) -> Option<c_int> {
    Some(match name {
        "EIO" => libc::EIO,
        "ENOSPC" => libc::ENOSPC,
        "EINTR" => libc::EINTR,
        "EMFILE" => libc::EMFILE,
        "ENFILE" => libc::ENFILE,
        "ENOBUFS" => libc::ENOBUFS,
        "ENOMEM" => libc::ENOMEM,
        "EPROTO" => libc::EPROTO,
        "ECONNABORTED" => libc::ECONNABORTED,
        "ECONNREFUSED" => libc::ECONNREFUSED,
        "ECONNRESET" => libc::ECONNRESET,
        "EADDRNOTAVAIL" => libc::EADDRNOTAVAIL,
        "ENETUNREACH" => libc::ENETUNREACH,
        "EHOSTUNREACH" => libc::EHOSTUNREACH,
        "ETIMEDOUT" => libc::ETIMEDOUT,
        "EPIPE" => libc::EPIPE,
        _ => return None,
    })
}

impl Rule {
    /// Parses the words of a line; `None` if they are not a rule.
    fn parse(words: &[&str]) -> Option<Rule> {
        let (call, effect_word) = (words.first()?, words.get(1)?);
        let effect = match effect_word.split_once('=') {
            Some(("torn", name)) => Effect::Torn(error_number(name)?),
            Some(("stall", milliseconds)) => Effect::Stalls(milliseconds.parse().ok()?),
            None if *effect_word == "short" => Effect::Short,
            None => Effect::Fails(error_number(effect_word)?),
            _ => return None,
        };
        let mut rule = Rule {
            call: (*call).to_owned(),
            effect,
            first_call: 1,
            max_faults: u64::MAX,
            probability: 1.0,
            calls_seen: 0,
            faults_injected: 0,
        };
        for option in &words[2..] {
            match option.split_once('=')? {
                ("nth", value) => rule.first_call = value.parse().ok()?,
                ("count", value) => rule.max_faults = value.parse().ok()?,
                ("chance", value) => rule.probability = value.parse().ok()?,
                _ => return None,
            }
        }
        Some(rule)
    }
}

impl Plan {
    /// Parses a plan. A line that is not a rule is ignored.
    pub fn parse(text: &str) -> Plan {
        let mut plan = Plan { random_state: 1, ..Plan::default() };
        for line in text.lines() {
            let words: Vec<&str> = line.split_whitespace().collect();
            match words.as_slice() {
                ["wall", offset] => plan.wall_offset_micros = offset.parse().unwrap_or(0),
                ["seed", seed] => plan.random_state = seed.parse().unwrap_or(0) | 1,
                words => plan.rules.extend(Rule::parse(words)),
            }
        }
        plan
    }

    /// Draws a number from 0 up to but not including 1 with the generator xorshift64.
    fn next_random(&mut self) -> f64 {
        self.random_state ^= self.random_state << 13;
        self.random_state ^= self.random_state >> 7;
        self.random_state ^= self.random_state << 17;
        (self.random_state >> 11) as f64 / (1u64 << 53) as f64
    }

    /// The fault to inject into a call of this name that is about to be made: that of the first rule that applies.
    pub fn next_effect(&mut self, call: &str) -> Option<Effect> {
        for index in 0..self.rules.len() {
            if self.rules[index].call != call {
                continue;
            }
            let random_number = self.next_random();
            let rule = &mut self.rules[index];
            rule.calls_seen += 1;
            if rule.calls_seen >= rule.first_call
                && rule.faults_injected < rule.max_faults
                && random_number < rule.probability
            {
                rule.faults_injected += 1;
                return Some(rule.effect);
            }
        }
        None
    }
}
