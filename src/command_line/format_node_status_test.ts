import test from "ava";
import type { NodeStatus } from "../daemon/node_status.ts";
import { createDiagnostic } from "../diagnostics/create_diagnostic.ts";
import { DiagnosticCode } from "../diagnostics/diagnostic_code.ts";
import { BackendServerState } from "../health/backend_server_state.ts";
import { NodeState } from "../peers/node_state.ts";
import { readBaseline } from "../testing/read_baseline.ts";
import { formatNodeStatus } from "./format_node_status.ts";

const version = { number: 18, digest: "a".repeat(64) };
const address = { host: "127.0.0.1", port: 7001 };

const status: NodeStatus = {
  vm: "vm-1",
  zone: "sul-a",
  state: NodeState.Serving,
  startedAt: 0,
  at: 90_000,
  version,
  zonesTakenOut: ["sul-b"],
  backendServer: {
    name: "encomendas-1",
    backendServerState: BackendServerState.Cold,
    limit: 4,
    running: 3,
    queued: 1,
    freeSlots: 1,
  },
  distribution: {
    version,
    appliedAt: 1_000,
    isReader: true,
    refused: {
      version: { number: 19, digest: "b".repeat(64) },
      reasons: [
        createDiagnostic(DiagnosticCode.ConfigurationFieldInvalid, {
          path: "rules.routes[0].service",
          found: '"unknown"',
          allowed: "a service of the register",
        }),
      ],
    },
    conflict: undefined,
    platformReachable: false,
    platformReads: 4,
    controlBytesSent: 0,
    controlBytesReceived: 0,
    controlMessagesSent: 0,
    controlMessagesReceived: 0,
  },
  peers: [{
    vm: "vm-2",
    zone: "sul-b",
    nodeAddress: address,
    incarnation: 1,
    sequence: 1,
    state: NodeState.Draining,
    backendServerState: BackendServerState.Ready,
    freeSlots: 0,
    version,
  }],
  calls: {
    received: 10,
    answeredWhole: 6,
    refusedNotRun: 2,
    refusedUnknown: 0,
    abandoned: 1,
    running: 1,
    refusalsByReason: { full: 2 },
  },
  latencies: [],
};

test("formatNodeStatus() matches its baseline", (t) => {
  const actual = formatNodeStatus(status);
  t.is(
    actual,
    readBaseline("src/command_line/baselines/node_status.txt", actual),
  );
});
