import test from "ava";
import type { IncomingMessage } from "node:http";
import { createGateState } from "../gate/create_gate_state.ts";
import { isNestedCall } from "./is_nested_call.ts";
import type { MeshNode } from "./mesh_node.ts";

const host = "10.1.0.8";

function isNested(options: {
  readonly remoteAddress?: string;
  readonly mayComeBack?: boolean;
  readonly running?: number;
}): boolean {
  const { remoteAddress = host, mayComeBack = false, running = 1 } = options;
  const gate = createGateState(0);
  Array.from({ length: running }, (_, index) =>
    gate.running.set(`${index}`, {
      route: "vagas",
      getFingerprint: () => "",
      isNested: false,
      shareKey: "vitrine",
      startedAt: 0,
    }));
  const node = {
    gate,
    settings: { backendServer: { host, port: 8301 } },
  } as unknown as MeshNode;
  const request = { socket: { remoteAddress } } as unknown as IncomingMessage;
  return isNestedCall(node, { request, mayComeBack });
}

test("a call without time for a retry from the VM of a backend server at work is nested", (t) =>
  t.true(isNested({})));

test("calls of other VMs, those with time for a retry, and those while no call runs are not nested", (t) => {
  t.false(isNested({ remoteAddress: "10.1.0.9" }));
  t.false(isNested({ mayComeBack: true }));
  t.false(isNested({ running: 0 }));
});
