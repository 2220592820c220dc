#!/usr/bin/env node
/**
 * The entry point of the `catkinquay` command.
 *
 * @module
 */
import process from "node:process";
import { runCommandLine } from "./run_command_line.ts";

process.exitCode = await runCommandLine(process.argv.slice(2), {
  write: (text) => void process.stdout.write(text),
  writeError: (text) => void process.stderr.write(text),
});
