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
    Help(Option<Command>),
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
    /// Shows the decisions of balancers about a flow.
    Explain {
        /// Substring of the name `CALLER>SERVICE` of the flow.
        flow: String,
        /// Log files.
        files: Vec<PathBuf>,
    },
    /// Merges the events of several processes into one timeline.
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

/// Name of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Command {
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

impl Command {
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

/// Parsed command-line arguments.
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
    /// Parses the arguments that follow the program name.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Argument`] naming the option or value and what is allowed.
    pub fn parse<I>(arguments: I) -> Result<Self>
    where
        I: IntoIterator<Item: Into<OsString>>,
    {
        let mut raw = Raw::read(Parser::from_args(arguments))?;
        let command = raw.take_command()?;
        if raw.take_flag("help") {
            return Ok(Self { action: Action::Help(command), store: None, fleet: None });
        }
        if raw.take_flag("version") {
            return Ok(Self { action: Action::Version, store: None, fleet: None });
        }
        let Some(command) = command else {
            return Err(invalid(format!("command is missing, allowed: {}", command_names())));
        };
        raw.check_options(command)?;
        let (store, fleet) = (raw.take_utf8("store")?, raw.take_utf8("fleet")?);
        let action = raw.take_action(command)?;
        raw.reject_rest(command)?;
        Ok(Self { action, store, fleet })
    }
}

fn invalid(message: String) -> Error {
    Error::new(ErrorKind::Argument, message)
}

fn command_names() -> String {
    Command::ALL.map(|command| command.to_string()).join(", ")
}

/// An option with its value, if it takes one.
struct Opt {
    name: String,
    value: Option<OsString>,
}

/// Options and positional arguments that are not interpreted yet, in the order in which they are given.
struct Raw {
    options: Vec<Opt>,
    positionals: std::collections::VecDeque<OsString>,
}

impl Raw {
    fn read(mut parser: Parser) -> Result<Self> {
        let mut raw = Self { options: Vec::new(), positionals: std::collections::VecDeque::new() };
        let syntax_error = |error: lexopt::Error| invalid(error.to_string());
        while let Some(argument) = parser.next().map_err(syntax_error)? {
            let name = match argument {
                Arg::Value(value) => {
                    raw.positionals.push_back(value);
                    continue;
                }
                Arg::Short('h') => "help".to_owned(),
                Arg::Short('V') => "version".to_owned(),
                Arg::Short(name) => return Err(invalid(format!("option -{name} is unknown, allowed: -h, -V"))),
                Arg::Long(name) => name.to_owned(),
            };
            if raw.options.iter().any(|opt| opt.name == name) {
                return Err(invalid(format!("option --{name} is given twice, allowed: once")));
            }
            let value = match name.as_str() {
                "from" | "store" | "fleet" | "balancers" | "format" | "if-version" => {
                    Some(parser.value().map_err(syntax_error)?)
                }
                // `check_options` rejects unknown options once the command is known, since its error lists the options of
                // the command.
                _ => None,
            };
            raw.options.push(Opt { name, value });
        }
        Ok(raw)
    }

    fn take_command(&mut self) -> Result<Option<Command>> {
        let Some(name) = self.positionals.pop_front() else {
            return Ok(None);
        };
        let name = utf8("command", name)?;
        let command = Command::ALL.into_iter().find(|command| command.to_string() == name);
        command.map(Some).ok_or_else(|| invalid(format!("command {name:?} is unknown, allowed: {}", command_names())))
    }

    /// Returns an error if an option is given that the command does not take.
    fn check_options(&self, command: Command) -> Result<()> {
        let allowed = command.options();
        match self.options.iter().find(|opt| !allowed.contains(&opt.name.as_str())) {
            None => Ok(()),
            Some(opt) => {
                let common = ["help", "version"].iter();
                let list: Vec<String> = allowed.iter().chain(common).map(|name| format!("--{name}")).collect();
                let list = list.join(", ");
                Err(invalid(format!("option --{} is unknown to {command}, allowed: {list}", opt.name)))
            }
        }
    }

    fn take_value(&mut self, name: &str) -> Option<OsString> {
        let position = self.options.iter().position(|opt| opt.name == name)?;
        self.options.remove(position).value
    }

    fn take_utf8(&mut self, name: &str) -> Result<Option<String>> {
        self.take_value(name).map(|value| utf8(&format!("option --{name}"), value)).transpose()
    }

    fn take_flag(&mut self, name: &str) -> bool {
        let position = self.options.iter().position(|opt| opt.name == name);
        position.map(|position| self.options.remove(position)).is_some()
    }

    fn take_action(&mut self, command: Command) -> Result<Action> {
        let action = match command {
            Command::Check => Action::Check { from: self.take_folder() },
            Command::Diff => Action::Diff { from: self.take_folder() },
            Command::Publish => Action::Publish { from: self.take_folder(), prune: self.take_flag("prune") },
            Command::Put => {
                let files: Vec<PathBuf> = self.positionals.drain(..).map(PathBuf::from).collect();
                let if_version = self.take_version()?;
                if files.is_empty() {
                    return Err(invalid("put: FILE is missing, allowed: one or more files KIND/NAME.json".to_owned()));
                }
                if if_version.is_some() && files.len() > 1 {
                    let count = files.len();
                    return Err(invalid(format!(
                        "put: option --if-version is given with {count} files, allowed: one file"
                    )));
                }
                Action::Put { files, if_version }
            }
            Command::Get => {
                let kind = self.take_kind(command)?;
                let name = self.positionals.pop_front().map(|name| utf8("NAME", name)).transpose()?;
                Action::Get { kind, name }
            }
            Command::Delete => {
                let kind = self.take_kind(command)?;
                let name = self.positionals.pop_front().ok_or_else(|| invalid("delete: NAME is missing".to_owned()))?;
                Action::Delete { kind, name: utf8("NAME", name)?, if_version: self.take_version()? }
            }
            Command::Status => {
                let balancers = self.take_utf8("balancers")?;
                let balancers = balancers.map_or_else(|| Ok(Vec::new()), |list| addresses("--balancers", "", &list))?;
                Action::Status { json: self.take_flag("json"), balancers }
            }
            Command::Timeline => {
                let list = self.take_utf8("from")?;
                let list = list.ok_or_else(|| {
                    invalid("timeline: option --from is missing, allowed: http://IP:port,...".to_owned())
                })?;
                Action::Timeline { from: addresses("--from", "http://", &list)?, format: self.take_format()? }
            }
            Command::Explain => {
                let flow =
                    self.positionals.pop_front().ok_or_else(|| invalid("explain: FLOW is missing".to_owned()))?;
                let files: Vec<PathBuf> = self.positionals.drain(..).map(PathBuf::from).collect();
                if files.is_empty() {
                    return Err(invalid("explain: FILE is missing, allowed: one or more log files".to_owned()));
                }
                let flow = utf8("FLOW", flow)?;
                if flow.is_empty() {
                    return Err(invalid("explain: FLOW is empty, allowed: a substring of CALLER>SERVICE".to_owned()));
                }
                Action::Explain { flow, files }
            }
        };
        Ok(action)
    }

    fn take_folder(&mut self) -> Option<PathBuf> {
        self.take_value("from").map(PathBuf::from)
    }

    fn take_kind(&mut self, command: Command) -> Result<Kind> {
        let kind = self.positionals.pop_front();
        let kind = kind
            .ok_or_else(|| invalid(format!("{command}: KIND is missing, allowed: zone, priority, service, target")))?;
        utf8("KIND", kind)?.parse()
    }

    fn take_version(&mut self) -> Result<Option<u64>> {
        let Some(value) = self.take_utf8("if-version")? else {
            return Ok(None);
        };
        match value.parse() {
            Ok(version) => Ok(Some(version)),
            Err(_invalid) => Err(invalid(format!(
                "option --if-version is {value:?}, allowed: an integer, 0 if the object must not exist"
            ))),
        }
    }

    fn take_format(&mut self) -> Result<Format> {
        match self.take_utf8("format")?.as_deref() {
            None | Some("text") => Ok(Format::Text),
            Some("json") => Ok(Format::Json),
            Some("trace") => Ok(Format::Trace),
            Some(other) => Err(invalid(format!("option --format is {other:?}, allowed: text, json, trace"))),
        }
    }

    /// Returns an error if a positional argument is left that the command does not take.
    fn reject_rest(mut self, command: Command) -> Result<()> {
        match self.positionals.pop_front() {
            None => Ok(()),
            Some(value) => Err(invalid(format!("{command}: unexpected argument {}", value.display()))),
        }
    }
}

/// Converts a value to UTF-8 text; `label` names the value in the error.
fn utf8(label: &str, value: OsString) -> Result<String> {
    let displayed = value.display().to_string();
    value.string().map_err(|_error| invalid(format!("{label} is {displayed:?}, allowed: UTF-8 text")))
}

/// Parses a comma-separated list of addresses, each preceded by `prefix`.
fn addresses(option: &str, prefix: &str, list: &str) -> Result<Vec<SocketAddr>> {
    let parse = |item: &str| {
        let address = item.strip_prefix(prefix).map(|rest| rest.trim_end_matches('/'));
        let address = address.and_then(|address| address.parse().ok());
        address.ok_or_else(|| invalid(format!("option {option} has {item:?}, allowed: {prefix}IP:port")))
    };
    list.split(',').map(parse).collect()
}
