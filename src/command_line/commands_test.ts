import { createServer } from "node:http";
import { readFileSync } from "node:fs";
import type { AddressInfo } from "node:net";
import test from "ava";
import { readBaseline } from "../testing/read_baseline.ts";
import { checkCommand } from "./check_command.ts";
import { explainCommand } from "./explain_command.ts";
import type { Command } from "./command.ts";
import { runCommand } from "./run_command.ts";
import { routesCommand } from "./routes_command.ts";

const directory = "src/command_line/baselines";

async function run(command: Command, parameters: readonly string[]) {
  const written: string[] = [];
  const status = await runCommand(command, parameters, {
    write: (text) => void written.push(text),
    writeError: (text) => void written.push(`standard error: ${text}`),
  });
  return { status, text: written.join("") };
}

/** Log lines of a simulated day with an overload and a VM that lost power. */
const recordedLog = `${directory}/mesh_log.jsonl`;
const file = (name: string) => `${directory}/${name}.json`;

const cases: readonly {
  readonly name: string;
  readonly command: Command;
  readonly parameters: readonly string[];
}[] = [
  { name: "check_help", command: checkCommand, parameters: ["--help"] },
  { name: "check_no_file", command: checkCommand, parameters: [] },
  {
    name: "check_unknown_option",
    command: checkCommand,
    parameters: ["--fast"],
  },
  {
    name: "check_valid",
    command: checkCommand,
    parameters: [file("valid")],
  },
  {
    name: "check_valid_json",
    command: checkCommand,
    parameters: [file("valid"), "--json"],
  },
  {
    name: "check_several",
    command: checkCommand,
    parameters: [file("valid"), `${directory}/half.part`, file("absent")],
  },
  {
    name: "check_wrong_types",
    command: checkCommand,
    parameters: [file("wrong_types")],
  },
  {
    name: "check_unknown_names",
    command: checkCommand,
    parameters: [file("unknown_names")],
  },
  {
    name: "check_wrong_digest",
    command: checkCommand,
    parameters: [file("wrong_digest")],
  },
  {
    name: "check_undoing",
    command: checkCommand,
    parameters: [file("undoing"), "--against", file("valid")],
  },
  {
    name: "check_undoing_partly_expected",
    command: checkCommand,
    parameters: [
      file("undoing"),
      "--against",
      file("valid"),
      "--expect",
      "sul-b",
      "--expect",
      "vitrine-1",
    ],
  },
  { name: "routes_help", command: routesCommand, parameters: ["--help"] },
  { name: "routes_no_file", command: routesCommand, parameters: [] },
  {
    name: "routes_valid",
    command: routesCommand,
    parameters: [file("valid")],
  },
  {
    name: "routes_valid_json",
    command: routesCommand,
    parameters: [file("valid"), "--json"],
  },
  {
    name: "routes_unknown_names",
    command: routesCommand,
    parameters: [file("unknown_names")],
  },
  { name: "explain_help", command: explainCommand, parameters: ["--help"] },
  { name: "explain_no_file", command: explainCommand, parameters: ["a"] },
  {
    name: "explain_refused",
    command: explainCommand,
    parameters: ["ce8e17f7653c959b", recordedLog],
  },
  {
    name: "explain_unknown_outcome",
    command: explainCommand,
    parameters: ["fc63dea014bd6888", recordedLog],
  },
  {
    name: "explain_unknown_call",
    command: explainCommand,
    parameters: ["nobody", recordedLog],
  },
  {
    name: "explain_absent_file",
    command: explainCommand,
    parameters: ["nobody", `${directory}/absent.jsonl`],
  },
];

cases.forEach(({ name, command, parameters }) =>
  test(`the output of ${name} matches its baseline`, async (t) => {
    const { status, text } = await run(command, parameters);
    const actual = `${text}exit status ${status}\n`;
    t.is(actual, readBaseline(`${directory}/${name}.txt`, actual));
  })
);

test("check --against reads the version in force from a node", async (t) => {
  const server = createServer((request, response) => {
    response.statusCode = request.url === "/configuration" ? 200 : 404;
    response.end(readFileSync(file("valid")));
  });
  t.teardown(() => server.close());
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const { status, text } = await run(checkCommand, [
    file("valid"),
    "--against",
    `127.0.0.1:${port}`,
  ]);
  t.is(status, 1);
  t.regex(text, /"number" is 18, but must be above 18/);
});

test("check --against fails if the node is unreachable", async (t) => {
  const { status, text } = await run(checkCommand, [
    file("valid"),
    "--against",
    "127.0.0.1:1",
  ]);
  t.is(status, 1);
  t.regex(text, /CQ7003: Cannot reach the node at "127.0.0.1:1"/);
});
