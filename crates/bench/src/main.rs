//! Runs benchmarks, prints their result tables and updates the Markdown pages that hold them.

use std::{
    path::{
        Path,
        PathBuf, //
    },
    process::ExitCode,
};

use camphordale_bench::{
    MeasureError,
    MeasuredValues,
    RunOptions,
    SECTIONS,
    Section,
    Table,
    write_section, //
};
use gumdrop::Options;

/// Runs measurements.
#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this text")]
    help: bool,
    #[options(free, help = "sections; all if none is given")]
    sections: Vec<String>,
    #[options(no_short, help = "folder of the programs", default = "target/release")]
    programs: PathBuf,
    #[options(no_short, help = "folder of the pages", default = "docs")]
    docs: PathBuf,
    #[options(no_short, help = "keep settings, data and logs in this folder")]
    keep: Option<PathBuf>,
    #[options(no_short, help = "print Markdown")]
    markdown: bool,
    #[options(no_short, help = "replace the sections in the pages")]
    write: bool,
    #[options(no_short, help = "few and short runs, to try the programs out")]
    trial: bool,
}

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    let known = |name: &String| SECTIONS.iter().any(|section| section.name == name);
    if let Some(name) = args.sections.iter().find(|name| !known(name)) {
        let names: Vec<&str> = SECTIONS.iter().map(|section| section.name).collect();
        eprintln!("camphordale-measure: section {name:?} is not one of {names:?}");
        return ExitCode::FAILURE;
    }
    let mut failed = false;
    for section in SECTIONS {
        if !args.sections.is_empty() && !args.sections.iter().any(|name| name == section.name) {
            continue;
        }
        if let Err(err) = run(&args, &section) {
            eprintln!("camphordale-measure: {}: {err}", section.name);
            failed = true;
        }
    }
    if failed {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    }
}

fn run(args: &Args, section: &Section) -> Result<(), MeasureError> {
    let options = RunOptions {
        programs: args.programs.clone(),
        keep: args.keep.clone(),
        trial: args.trial,
    };
    let file = args.docs.join("measurements.json");
    let mut measured = MeasuredValues::read(&file)?;
    let tables = (section.measure)(&options, &mut measured)?;
    for table in &tables {
        if args.markdown {
            println!("{}", table.markdown());
        } else {
            println!("{}", table.text());
        }
    }
    if args.write {
        measured.write(&file)?;
        write_section(&page(&args.docs, section), section.name, &text(&tables))?;
    }
    Ok(())
}

fn page(docs: &Path, section: &Section) -> PathBuf {
    docs.join(section.page)
}

fn text(tables: &[Table]) -> String {
    let parts: Vec<String> = tables.iter().map(Table::markdown).collect();
    format!("\n{}\n", parts.join("\n"))
}
