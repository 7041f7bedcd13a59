//! Arguments of `poplarctl`.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;

use lexopt::{Arg, Parser, ValueExt as _};
use poplarpaddle::error::{Error, Kind as ErrorKind, Result};
use poplarpaddle::object::Kind;

/// A command with its arguments.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Prints the help of one command, or of the whole program.
    Help(Option<Topic>),
    /// Prints the version.
    Version,
    /// Checks the objects in files or in the store.
    Check {
        /// Folder of the files.
        from: Option<PathBuf>,
    },
    /// Compares the files, the store and the published generation.
    Diff {
        /// Folder of the files.
        from: Option<PathBuf>,
    },
    /// Writes objects to the store.
    Put {
        /// Files that hold one object each.
        files: Vec<PathBuf>,
        /// Expected version of the object in the store.
        if_version: Option<u64>,
    },
    /// Prints objects from the store.
    Get {
        /// Kind of the objects.
        kind: Kind,
        /// Name of the object; without a name, all objects of the kind are printed.
        name: Option<String>,
    },
    /// Deletes an object from the store.
    Delete {
        /// Kind of the object.
        kind: Kind,
        /// Name of the object.
        name: String,
        /// Expected version of the object in the store.
        if_version: Option<u64>,
    },
    /// Publishes the objects of the store.
    Publish {
        /// Folder whose objects are written to the store before the publish.
        from: Option<PathBuf>,
        /// Whether objects in the store that have no file are deleted.
        prune: bool,
    },
    /// Prints the status of the fleet.
    Status {
        /// Whether JSON is printed instead of a table.
        json: bool,
        /// Addresses of balancers that are queried directly.
        balancers: Vec<SocketAddr>,
    },
    /// Shows what balancers decided about a flow.
    Explain {
        /// Substring of the flow's name.
        flow: String,
        /// Log files.
        files: Vec<PathBuf>,
    },
    /// Merges the events of processes.
    Timeline {
        /// Addresses of the processes whose events are fetched.
        from: Vec<SocketAddr>,
        /// Output format.
        format: Format,
    },
}

/// Output format of a timeline.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Format {
    /// One human-readable line per event.
    #[default]
    Text,
    /// JSON lines.
    Json,
    /// Trace Event Format.
    Trace,
}

/// A command by its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Topic {
    /// `check`.
    #[display("check")]
    Check,
    /// `diff`.
    #[display("diff")]
    Diff,
    /// `put`.
    #[display("put")]
    Put,
    /// `get`.
    #[display("get")]
    Get,
    /// `delete`.
    #[display("delete")]
    Delete,
    /// `publish`.
    #[display("publish")]
    Publish,
    /// `status`.
    #[display("status")]
    Status,
    /// `timeline`.
    #[display("timeline")]
    Timeline,
    /// `explain`.
    #[display("explain")]
    Explain,
}

impl Topic {
    /// All commands, in the order in which the help lists them.
    pub const ALL: [Self; 9] = [
        Self::Check,
        Self::Diff,
        Self::Put,
        Self::Get,
        Self::Delete,
        Self::Publish,
        Self::Status,
        Self::Timeline,
        Self::Explain,
    ];

    /// Returns the options that the command takes, without `--help` and `--version`.
    #[must_use]
    pub const fn options(self) -> &'static [&'static str] {
        match self {
            Self::Check | Self::Diff => &["from", "store", "fleet"],
            Self::Put | Self::Delete => &["if-version", "store", "fleet"],
            Self::Get => &["store", "fleet"],
            Self::Publish => &["from", "prune", "store", "fleet"],
            Self::Status => &["json", "balancers", "store", "fleet"],
            Self::Timeline => &["from", "format", "store", "fleet"],
            Self::Explain => &[],
        }
    }
}

/// Parsed arguments of the program.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arguments {
    /// The command.
    pub action: Action,
    /// URL of the store.
    pub store: Option<String>,
    /// Name of the fleet.
    pub fleet: Option<String>,
}

impl Arguments {
    /// Parses the arguments after the name of the program.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Argument`] naming the option or value and what is allowed.
    pub fn parse<I>(arguments: I) -> Result<Self>
    where
        I: IntoIterator<Item: Into<OsString>>,
    {
        let mut raw = Raw::read(Parser::from_args(arguments))?;
        let topic = raw.topic()?;
        if raw.take_flag("help") {
            return Ok(Self { action: Action::Help(topic), store: None, fleet: None });
        }
        if raw.take_flag("version") {
            return Ok(Self { action: Action::Version, store: None, fleet: None });
        }
        let Some(topic) = topic else {
            return Err(fault(format!("command is missing, allowed: {}", names())));
        };
        raw.verify(topic)?;
        let (store, fleet) = (raw.take("store")?, raw.take("fleet")?);
        let action = raw.action(topic)?;
        raw.finish(topic)?;
        Ok(Self { action, store, fleet })
    }
}

fn fault(message: String) -> Error {
    Error::new(ErrorKind::Argument, message)
}

fn names() -> String {
    Topic::ALL.map(|topic| topic.to_string()).join(", ")
}

/// An option as given on the command line.
struct Given {
    name: String,
    value: Option<OsString>,
}

/// Options and values in the order in which they are given.
struct Raw {
    options: Vec<Given>,
    values: std::collections::VecDeque<OsString>,
}

impl Raw {
    fn read(mut parser: Parser) -> Result<Self> {
        let mut raw = Self { options: Vec::new(), values: std::collections::VecDeque::new() };
        let broken = |error: lexopt::Error| fault(error.to_string());
        while let Some(argument) = parser.next().map_err(broken)? {
            let name = match argument {
                Arg::Value(value) => {
                    raw.values.push_back(value);
                    continue;
                }
                Arg::Short('h') => "help".to_owned(),
                Arg::Short('V') => "version".to_owned(),
                Arg::Short(letter) => return Err(fault(format!("option -{letter} is unknown, allowed: -h, -V"))),
                Arg::Long(name) => name.to_owned(),
            };
            if raw.options.iter().any(|given| given.name == name) {
                return Err(fault(format!("option --{name} is given twice, allowed: once")));
            }
            let value = match name.as_str() {
                "from" | "store" | "fleet" | "balancers" | "format" | "if-version" => {
                    Some(parser.value().map_err(broken)?)
                }
                // Unknown options are rejected once the command is known, since the error lists the options of the command.
                _ => None,
            };
            raw.options.push(Given { name, value });
        }
        Ok(raw)
    }

    fn topic(&mut self) -> Result<Option<Topic>> {
        let Some(name) = self.values.pop_front() else {
            return Ok(None);
        };
        let name = text("command", name)?;
        let found = Topic::ALL.into_iter().find(|topic| topic.to_string() == name);
        found.map(Some).ok_or_else(|| fault(format!("command {name:?} is unknown, allowed: {}", names())))
    }

    fn verify(&self, topic: Topic) -> Result<()> {
        let allowed = topic.options();
        match self.options.iter().find(|given| !allowed.contains(&given.name.as_str())) {
            None => Ok(()),
            Some(given) => {
                let common = ["help", "version"].iter();
                let list: Vec<String> = allowed.iter().chain(common).map(|name| format!("--{name}")).collect();
                let list = list.join(", ");
                Err(fault(format!("option --{} is unknown to {topic}, allowed: {list}", given.name)))
            }
        }
    }

    fn take_value(&mut self, name: &str) -> Option<OsString> {
        let position = self.options.iter().position(|given| given.name == name)?;
        self.options.remove(position).value
    }

    fn take(&mut self, name: &str) -> Result<Option<String>> {
        self.take_value(name).map(|value| text(&format!("option --{name}"), value)).transpose()
    }

    fn take_flag(&mut self, name: &str) -> bool {
        let position = self.options.iter().position(|given| given.name == name);
        position.map(|position| self.options.remove(position)).is_some()
    }

    fn action(&mut self, topic: Topic) -> Result<Action> {
        let action = match topic {
            Topic::Check => Action::Check { from: self.folder() },
            Topic::Diff => Action::Diff { from: self.folder() },
            Topic::Publish => Action::Publish { from: self.folder(), prune: self.take_flag("prune") },
            Topic::Put => {
                let files: Vec<PathBuf> = self.values.drain(..).map(PathBuf::from).collect();
                let if_version = self.version()?;
                if files.is_empty() {
                    return Err(fault("put: FILE is missing, allowed: one or more files KIND/NAME.json".to_owned()));
                }
                if if_version.is_some() && files.len() > 1 {
                    let count = files.len();
                    return Err(fault(format!("put: option --if-version with {count} files, allowed: with one file")));
                }
                Action::Put { files, if_version }
            }
            Topic::Get => {
                let kind = self.kind(topic)?;
                let name = self.values.pop_front().map(|name| text("NAME", name)).transpose()?;
                Action::Get { kind, name }
            }
            Topic::Delete => {
                let kind = self.kind(topic)?;
                let name = self.values.pop_front().ok_or_else(|| fault("delete: NAME is missing".to_owned()))?;
                Action::Delete { kind, name: text("NAME", name)?, if_version: self.version()? }
            }
            Topic::Status => {
                let balancers = self.take("balancers")?;
                let balancers = balancers.map_or_else(|| Ok(Vec::new()), |list| addresses("--balancers", "", &list))?;
                Action::Status { json: self.take_flag("json"), balancers }
            }
            Topic::Timeline => {
                let list = self.take("from")?;
                let list = list.ok_or_else(|| {
                    fault("timeline: option --from is missing, allowed: http://IP:port,...".to_owned())
                })?;
                Action::Timeline { from: addresses("--from", "http://", &list)?, format: self.format()? }
            }
            Topic::Explain => {
                let flow = self.values.pop_front().ok_or_else(|| fault("explain: FLOW is missing".to_owned()))?;
                let files: Vec<PathBuf> = self.values.drain(..).map(PathBuf::from).collect();
                if files.is_empty() {
                    return Err(fault("explain: FILE is missing, allowed: one or more log files".to_owned()));
                }
                let flow = text("FLOW", flow)?;
                if flow.is_empty() {
                    return Err(fault("explain: FLOW is empty, allowed: a part of CALLER>SERVICE".to_owned()));
                }
                Action::Explain { flow, files }
            }
        };
        Ok(action)
    }

    fn folder(&mut self) -> Option<PathBuf> {
        self.take_value("from").map(PathBuf::from)
    }

    fn kind(&mut self, topic: Topic) -> Result<Kind> {
        let kind = self.values.pop_front();
        let kind =
            kind.ok_or_else(|| fault(format!("{topic}: KIND is missing, allowed: zone, priority, service, target")))?;
        text("KIND", kind)?.parse()
    }

    fn version(&mut self) -> Result<Option<u64>> {
        let Some(value) = self.take("if-version")? else {
            return Ok(None);
        };
        match value.parse() {
            Ok(version) => Ok(Some(version)),
            Err(_invalid) => Err(fault(format!(
                "option --if-version is {value:?}, allowed: a whole number, 0 when it does not exist"
            ))),
        }
    }

    fn format(&mut self) -> Result<Format> {
        match self.take("format")?.as_deref() {
            None | Some("text") => Ok(Format::Text),
            Some("json") => Ok(Format::Json),
            Some("trace") => Ok(Format::Trace),
            Some(other) => Err(fault(format!("option --format is {other:?}, allowed: text, json, trace"))),
        }
    }

    fn finish(mut self, topic: Topic) -> Result<()> {
        match self.values.pop_front() {
            None => Ok(()),
            Some(value) => Err(fault(format!("{topic}: argument {} is one too many", value.display()))),
        }
    }
}

fn text(what: &str, value: OsString) -> Result<String> {
    let shown = value.display().to_string();
    value.string().map_err(|_error| fault(format!("{what} is {shown:?}, allowed: UTF-8 text")))
}

/// Parses a list of addresses, each with `prefix` before it.
fn addresses(option: &str, prefix: &str, list: &str) -> Result<Vec<SocketAddr>> {
    let parse = |item: &str| {
        let address = item.strip_prefix(prefix).map(|rest| rest.trim_end_matches('/'));
        let address = address.and_then(|address| address.parse().ok());
        address.ok_or_else(|| fault(format!("option {option} has {item:?}, allowed: {prefix}IP:port")))
    };
    list.split(',').map(parse).collect()
}
