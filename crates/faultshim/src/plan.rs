//! The fault plan: which system calls fail, how, how often. It is text, one rule a line, and makes no system call itself.
//!
//! ```text
//! write torn=EIO                 every write to the folder is cut in half, and what follows it gives EIO
//! accept ECONNABORTED chance=0.3 three of ten calls fail
//! unlink EIO nth=2 count=1       the second call fails, once
//! send stall=150 chance=0.05     held up for 150 ms before it is made
//! recv short                     half of what was asked for
//! wall 3600000000                the wall clock is an hour ahead, in microseconds
//! seed 7
//! ```

use std::ffi::c_int;

/// What happens to a call that a rule strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It fails with this error number.
    Fails(c_int),
    /// It takes half of what it was given.
    Short,
    /// It takes half of what it was given, and the next one on the descriptor fails with this error number.
    Torn(c_int),
    /// It is made after so many milliseconds.
    Stalls(u64),
}

/// A line of the plan.
#[derive(Clone, Debug)]
pub struct Rule {
    /// The name of the call.
    pub call: String,
    effect: Effect,
    /// The first call that it may strike, from 1.
    nth: u64,
    /// How many it strikes at most.
    count: u64,
    chance: f64,
    /// Calls of that name so far, and those that were struck.
    seen: u64,
    struck: u64,
}

/// A whole plan.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    rules: Vec<Rule>,
    /// Added to the wall clock, in microseconds.
    pub wall: i64,
    random: u64,
}

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
    fn read(words: &[&str]) -> Option<Rule> {
        let (call, how) = (words.first()?, words.get(1)?);
        let effect = match how.split_once('=') {
            Some(("torn", name)) => Effect::Torn(error_number(name)?),
            Some(("stall", milliseconds)) => Effect::Stalls(milliseconds.parse().ok()?),
            None if *how == "short" => Effect::Short,
            None => Effect::Fails(error_number(how)?),
            _ => return None,
        };
        let mut rule = Rule {
            call: (*call).to_owned(),
            effect,
            nth: 1,
            count: u64::MAX,
            chance: 1.0,
            seen: 0,
            struck: 0,
        };
        for option in &words[2..] {
            match option.split_once('=')? {
                ("nth", value) => rule.nth = value.parse().ok()?,
                ("count", value) => rule.count = value.parse().ok()?,
                ("chance", value) => rule.chance = value.parse().ok()?,
                _ => return None,
            }
        }
        Some(rule)
    }
}

impl Plan {
    /// Reads a plan; a line that makes no sense is left out.
    pub fn read(text: &str) -> Plan {
        let mut plan = Plan { random: 1, ..Plan::default() };
        for line in text.lines() {
            let words: Vec<&str> = line.split_whitespace().collect();
            match words.as_slice() {
                ["wall", offset] => plan.wall = offset.parse().unwrap_or(0),
                ["seed", seed] => plan.random = seed.parse().unwrap_or(0) | 1,
                words => plan.rules.extend(Rule::read(words)),
            }
        }
        plan
    }

    /// From 0 to 1, by the generator xorshift64.
    fn draw(&mut self) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) as f64 / (1u64 << 53) as f64
    }

    /// What happens to a call of a name that is about to be made.
    pub fn strike(&mut self, call: &str) -> Option<Effect> {
        for at in 0..self.rules.len() {
            if self.rules[at].call != call {
                continue;
            }
            let drawn = self.draw();
            let rule = &mut self.rules[at];
            rule.seen += 1;
            if rule.seen >= rule.nth && rule.struck < rule.count && drawn < rule.chance {
                rule.struck += 1;
                return Some(rule.effect);
            }
        }
        None
    }
}
