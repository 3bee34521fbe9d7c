//! Parser for scenarios. Each line is a step, `verb word... name=value...`, and `#` starts a
//! comment.

use std::time::Duration;

use foldhaven_core::units::TimeSpan;
use winnow::ascii::{space0, space1};
use winnow::combinator::{delimited, opt, preceded, separated};
use winnow::prelude::*;
use winnow::token::take_while;

use super::steps::{EditSpec, LeaveChannel, Scenario, SendSpec, Step, StepKind};

/// line {line}: {message}
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct ParseError {
    /// Line number, counted from 1.
    pub line: usize,
    /// Error message.
    pub message: String,
}

/// Words and named values of a line.
#[derive(Debug)]
struct Line<'a> {
    words: Vec<&'a str>,
    values: Vec<(&'a str, &'a str)>,
}

fn token<'a>(input: &mut &'a str) -> ModalResult<&'a str> {
    take_while(1.., |c: char| !c.is_whitespace() && c != '#').parse_next(input)
}

fn tokens<'a>(input: &mut &'a str) -> ModalResult<Vec<&'a str>> {
    let comment = preceded('#', take_while(0.., |_| true));
    let mut line = delimited(space0, separated(0.., token, space1), (space0, opt(comment)));
    line.parse_next(input)
}

impl<'a> Line<'a> {
    fn parse(text: &'a str) -> Result<Self, String> {
        let tokens = tokens.parse(text).map_err(|error| error.to_string())?;
        let mut line = Line { words: Vec::new(), values: Vec::new() };
        for token in tokens {
            match token.split_once('=') {
                Some(pair) => line.values.push(pair),
                None => line.words.push(token),
            }
        }
        Ok(line)
    }

    fn word(&self, index: usize) -> Result<&'a str, String> {
        let word = self.words.get(index).copied();
        word.ok_or_else(|| format!("expected word {} after {}", index, self.words[0]))
    }

    fn owned_word(&self, index: usize) -> Result<String, String> {
        self.word(index).map(str::to_owned)
    }

    fn value(&self, name: &str) -> Option<&'a str> {
        self.values.iter().find(|(it, _)| *it == name).map(|(_, value)| *value)
    }

    fn span(&self, index: usize) -> Result<Duration, String> {
        parse_span(self.word(index)?)
    }
}

fn parse_span(text: &str) -> Result<Duration, String> {
    text.parse::<TimeSpan>().map(|span| span.0).map_err(|error| error.to_string())
}

fn parse_number<T: std::str::FromStr>(text: &str) -> Result<T, String> {
    text.parse().map_err(|_| format!("expected a number, got {text}"))
}

/// Parses a scenario.
///
/// # Errors
///
/// Returns an error for the first line that cannot be parsed.
pub fn parse_scenario(text: &str) -> Result<Scenario, ParseError> {
    let mut scenario = Scenario { name: String::new(), vms: 2, steps: Vec::new() };
    for (index, content) in text.lines().enumerate() {
        let line_number = index + 1;
        let error_at = |message| ParseError { line: line_number, message };
        let line = Line::parse(content).map_err(error_at)?;
        match line.words.first().copied() {
            None => {}
            Some("scenario") => scenario.name = line.owned_word(1).map_err(error_at)?,
            Some("vms") => {
                let count = line.word(1).and_then(parse_number);
                scenario.vms = count.map_err(error_at)?;
            }
            Some(_) => {
                let kind = parse_step(&line).map_err(error_at)?;
                scenario.steps.push(Step { line: line_number, kind });
            }
        }
    }
    Ok(scenario)
}

fn parse_step(line: &Line<'_>) -> Result<StepKind, String> {
    let name = || line.owned_word(1);
    Ok(match line.words[0] {
        "send" => StepKind::Send(name()?, parse_send(line)?),
        "answer" => {
            let outcomes = line.words[2..].iter().map(|word| word.parse());
            let outcomes = outcomes.collect::<Result<_, _>>();
            StepKind::Answer(name()?, outcomes.map_err(|error| format!("{error}"))?)
        }
        "running" => StepKind::Running(name()?),
        "load" => {
            let rate = parse_number(line.value("rate").unwrap_or("10"))?;
            StepKind::Load(name()?, parse_send(line)?, rate)
        }
        "end" => {
            let share = parse_number(line.value("complete").unwrap_or("0"))?;
            StepKind::EndLoad(name()?, share)
        }
        "kill" => StepKind::Kill(name()?),
        "restart" => StepKind::Restart(name()?),
        "freeze" => StepKind::Freeze(name()?),
        "thaw" => StepKind::Thaw(name()?),
        "stop" => StepKind::Stop(name()?),
        "exit" => StepKind::Exit(name()?),
        "cut" => StepKind::Cut(name()?, line.owned_word(2)?, false),
        "cut-one-way" => StepKind::Cut(name()?, line.owned_word(2)?, true),
        "heal" => StepKind::Heal,
        "delay" => StepKind::Delay(name()?, line.owned_word(2)?, line.span(3)?),
        "publish" => StepKind::Publish(parse_edit(line)?),
        "platform" => {
            let mode = serde_json::from_value(line.word(1)?.into());
            StepKind::Platform(mode.map_err(|error| error.to_string())?)
        }
        "leave" => StepKind::Leave(name()?, parse_leave_channel(line.word(2)?)?),
        "in-force" => StepKind::InForce(name()?, line.span(2)?),
        "judges" => StepKind::Judges(name()?, line.owned_word(2)?, line.owned_word(3)?),
        "serving" => StepKind::Serving(name()?),
        "hold" => StepKind::Hold(line.span(1)?),
        "runs" => StepKind::Runs(name()?, parse_number(line.word(2)?)?),
        "served" => StepKind::ServedIn(name()?, line.owned_word(2)?),
        other => return Err(format!("expected a verb, got {other}")),
    })
}

fn parse_send(line: &Line<'_>) -> Result<SendSpec, String> {
    let text = |name: &str| line.value(name).map(str::to_owned);
    Ok(SendSpec {
        account: text("account").unwrap_or_default(),
        class: text("class").unwrap_or_default(),
        entry: text("entry"),
        deadline: line.value("deadline").map(parse_span).transpose()?,
        max_tokens: line.value("max").map(parse_number).transpose()?.unwrap_or_default(),
        path: text("path").unwrap_or_default(),
        ticket_from: text("ticket"),
        repeat_of: text("repeats"),
    })
}

fn parse_edit(line: &Line<'_>) -> Result<EditSpec, String> {
    Ok(match line.word(1)? {
        "bump" => EditSpec::Bump,
        "bad" => EditSpec::Bad,
        "race" => EditSpec::Race,
        "old" => EditSpec::Old,
        "residency" => {
            let regions = line.word(3)?.split(',').map(str::to_owned).collect();
            EditSpec::Residency(line.owned_word(2)?, regions)
        }
        other => return Err(format!("expected an edit, got {other}")),
    })
}

fn parse_leave_channel(text: &str) -> Result<LeaveChannel, String> {
    match text {
        "list" => Ok(LeaveChannel::List),
        "upstream" => Ok(LeaveChannel::Upstream),
        "both" => Ok(LeaveChannel::Both),
        other => Err(format!("expected list, upstream or both, got {other}")),
    }
}
