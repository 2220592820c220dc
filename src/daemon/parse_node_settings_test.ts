import test from "ava";
import { formatDiagnostic } from "../diagnostics/format_diagnostic.ts";
import { parseNodeSettings } from "./parse_node_settings.ts";

const settings = {
  vm: "vm-1",
  zone: "sul-a",
  listeners: {
    callers: "127.0.0.1:8001",
    nodes: "127.0.0.1:7001",
    operators: "127.0.0.1:6001",
  },
  backendServer: { name: "vitrine-1", address: "127.0.0.1:9001" },
  platform: "127.0.0.1:5000",
};

function getMessages(text: string): readonly string[] {
  const parsed = parseNodeSettings(text, "node.json");
  return parsed.isErr ? parsed.error.map(formatDiagnostic) : [];
}

test("parseNodeSettings() sets the defaults of the limits and the timing", (t) => {
  const parsed = parseNodeSettings(JSON.stringify(settings), "node.json");
  t.true(parsed.isOk);
  if (parsed.isOk) {
    t.deepEqual(parsed.value.listeners.nodes, {
      host: "127.0.0.1",
      port: 7001,
    });
    t.is(parsed.value.limits.queuedCalls, 24);
    t.deepEqual(parsed.value.seedPeers, []);
  }
});

test("parseNodeSettings() reports the path, the found value and the allowed values", (t) => {
  const text = JSON.stringify({
    ...settings,
    zone: 7,
    listeners: { callers: "localhost:1", nodes: "127.0.0.1:7001" },
    limits: { queuedCalls: -1 },
  });
  t.deepEqual(getMessages(text), [
    'error CQ1003: Settings field "zone" is 7, but must be a name of 1 to 100 letters, digits, dots, hyphens or underscores',
    'error CQ1003: Settings field "listeners.callers" is "localhost:1", but must be an address such as "127.0.0.1:7001", with an IP address and a port',
    'error CQ1003: Settings field "listeners.operators" is missing, but must be an address such as "127.0.0.1:7001", with an IP address and a port',
    'error CQ1003: Settings field "limits.queuedCalls" is -1, but must be a whole number from 0 to 10000',
  ]);
});

test("parseNodeSettings() rejects unknown fields", (t) => {
  t.deepEqual(
    getMessages(JSON.stringify({ ...settings, limits: { queueCalls: 3 } })),
    [
      'error CQ1004: Settings field "limits.queueCalls" is unknown; the allowed fields are requestBodyBytes, requestHeaderBytes, bufferedAnswerBytes, configurationBytes, queuedCalls',
    ],
  );
});

test("parseNodeSettings() reports text that is not JSON", (t) => {
  t.is(getMessages("{").length, 1);
  t.regex(getMessages("{")[0] ?? "", /^error CQ1002: .* is not JSON/);
});
