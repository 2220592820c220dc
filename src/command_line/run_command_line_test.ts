import test from "ava";
import { ExitStatus } from "./exit_status.ts";
import { runCommandLine } from "./run_command_line.ts";

async function run(...parameters: readonly string[]) {
  const written: string[] = [];
  const errors: string[] = [];
  const status = await runCommandLine(parameters, {
    write: (text) => void written.push(text),
    writeError: (text) => void errors.push(text),
  });
  return { status, written: written.join(""), errors: errors.join("") };
}

test("no help of a command leaves out an example or the exit statuses", async (t) => {
  const commands = ["node", "check", "routes", "status", "trail", "explain"];
  const runs = await Promise.all(commands.map((name) => run(name, "--help")));
  runs.forEach(({ status, written }, index) => {
    t.is(status, ExitStatus.Success);
    t.true(written.startsWith(`Usage: catkinquay ${commands[index]}`));
    t.regex(
      written,
      new RegExp(`^Example: catkinquay ${commands[index]} `, "m"),
    );
    t.regex(written, /^Exit status: 0 .* 1 [^]*2 for invalid/m);
  });
  const { status, written } = await run("--help");
  t.is(status, ExitStatus.Success);
  commands.forEach((name) => t.true(written.includes(`\n  ${name} `)));
});

test("--version prints the version", async (t) => {
  t.regex((await run("--version")).written, /^\d+\.\d+\.\d+\n$/);
});

test("invalid arguments exit with status 2 and a message on standard error", async (t) => {
  const invalidArguments = [
    [],
    ["fly"],
    ["node"],
    ["node", "--settings"],
    ["node", "--settings", "absent.json"],
    ["node", "--wings"],
    ["check"],
    ["status"],
    ["status", "localhost"],
    ["status", "127.0.0.1:1", "127.0.0.1:2"],
    ["trail", "nowhere"],
    ["explain"],
    ["explain", "c", "absent.jsonl"],
  ];
  const runs = await Promise.all(
    invalidArguments.map((parameters) => run(...parameters)),
  );
  runs.forEach(({ status, written, errors }, index) => {
    t.is(status, ExitStatus.Usage, invalidArguments[index]?.join(" "));
    t.is(written, "");
    t.not(errors, "");
  });
});

test("a diagnostic on settings does not leave out the file, the field, the value and what is allowed", async (t) => {
  const path = "docs/samples/vms.json";
  const { status, errors } = await run("node", "--settings", path);
  t.is(status, ExitStatus.Usage);
  t.regex(
    errors,
    /^docs\/samples\/vms\.json: error CQ1003: Settings field "vm" is missing, but must be a name/m,
  );
});

test("a command exits with status 1 if the node is unreachable", async (t) => {
  const { status, errors } = await run("status", "127.0.0.1:1");
  t.is(status, ExitStatus.Failure);
  t.regex(errors, /^error CQ7003: Cannot reach the node at "127.0.0.1:1": /);
});
