//! The camphordale daemon.

use std::{
    path::PathBuf,
    process::ExitCode, //
};

use camphordale_daemon::{
    app::{
        self,
        App, //
    },
    log::Log,
    settings::Settings, //
};
use gumdrop::Options;
use signal_hook::{
    consts::{
        SIGHUP,
        SIGINT,
        SIGTERM, //
    },
    iterator::Signals,
};
use slog::{
    crit,
    warn, //
};

#[derive(Debug, Options)]
struct Args {
    #[options(help = "show this help")]
    help: bool,
    #[options(help = "the settings file", meta = "FILE")]
    config: Option<PathBuf>,
    #[options(no_short, help = "check the settings and exit")]
    check: bool,
    #[options(no_short, help = "print the default settings and exit")]
    print_defaults: bool,
    #[options(
        no_short,
        help = "make the data folder of a founding control voter and exit"
    )]
    init: bool,
    #[options(no_short, help = "print the version and exit")]
    version: bool,
}

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    if args.version {
        println!("camphordaled {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    if args.print_defaults {
        print!("{}", Settings::defaults_yaml());
        return ExitCode::SUCCESS;
    }
    let Some(config) = args.config else {
        eprintln!("camphordaled: --config FILE is needed; see --help");
        return ExitCode::from(2);
    };
    let settings = match Settings::load(&config) {
        Ok(settings) => settings,
        Err(err) => return fail(2, &err),
    };
    if args.check {
        println!("{}: the settings are correct", config.display());
        return ExitCode::SUCCESS;
    }
    if args.init {
        return match app::init(&settings) {
            Ok(()) => ExitCode::SUCCESS,
            Err(err) => fail(1, &err),
        };
    }
    run(settings, &config)
}

fn run(settings: Settings, config: &std::path::Path) -> ExitCode {
    let mut signals = match Signals::new([SIGTERM, SIGINT, SIGHUP]) {
        Ok(signals) => signals,
        Err(err) => return fail(1, &err),
    };
    let log = Log::to_stderr(settings.log);
    let root = log.root().clone();
    let mut app = match App::start(settings, &root) {
        Ok(app) => app,
        Err(err) => {
            crit!(root, "cannot start"; "error" => %err);
            return ExitCode::FAILURE;
        }
    };
    for signal in signals.forever() {
        if signal != SIGHUP {
            break;
        }
        match Settings::load(config) {
            Ok(new) => {
                log.set_level(new.log.level);
                app.reload(new);
            }
            Err(err) => warn!(root, "settings not reloaded"; "error" => %err),
        }
    }
    app.shutdown();
    ExitCode::SUCCESS
}

fn fail<E>(code: u8, err: &E) -> ExitCode
where
    E: std::fmt::Display,
{
    eprintln!("camphordaled: {err}");
    ExitCode::from(code)
}
