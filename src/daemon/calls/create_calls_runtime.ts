import type { CallsRuntime } from "../../calls/calls_runtime.ts";
import type { CallsRuntimeOptions } from "../../calls/calls_runtime_options.ts";
import { ChoicePolicy } from "../../calls/choice_policy.ts";
import { createExpiringMap } from "../../calls/create_expiring_map.ts";
import { retryBudgetCapacity } from "../../calls/retry_budget_capacity.ts";
import type { Settlement } from "../../calls/settlement.ts";
import { SettlementKind } from "../../calls/settlement_kind.ts";
import { ViewEventKind } from "../../calls/view_event_kind.ts";
import type { Snapshot } from "../../configuration/snapshot.ts";
import type { NetworkAddress } from "../../runtime/network_address.ts";
import type { CallsNode } from "./calls_node.ts";
import { createCallIdentifierGenerator } from "./create_call_identifier_generator.ts";
import { createCallLedger } from "./create_call_ledger.ts";
import { createCallPool } from "./create_call_pool.ts";
import { createCallPools } from "./create_call_pools.ts";
import { createPeerCache } from "./create_peer_cache.ts";
import { handleCallsControlMethod } from "./handle_calls_control_method.ts";
import { serveCallerRequest } from "./serve_caller_request.ts";
import { serveForwardedCall } from "./serve_forwarded_call.ts";
import { updateBackendServerView } from "./update_backend_server_view.ts";

const storedAnswerBytesMaximum = 8 * 1024 * 1024;

/** Creates the calls runtime of one node. `choicePolicy` is set only by measurements that compare against a baseline. */
export function createCallsRuntime(
  options: CallsRuntimeOptions,
  choicePolicy: ChoicePolicy = ChoicePolicy.TwoChoicesByFreeSlots,
): CallsRuntime {
  const node = createCallsNode(
    { ...options, ...createPeerCache(options) },
    choicePolicy,
  );
  const isIdle = () =>
    node.callerCalls.size === 0 && node.dispatches.size === 0;

  return {
    handleCallerRequest: (request, response) =>
      serveCallerRequest(node, request, response),
    handleForwardedCall: (request, response) =>
      serveForwardedCall(node, request, response),
    handleControlMethod: (method, parameters) =>
      Promise.resolve().then(() =>
        handleCallsControlMethod(node, method, parameters)
      ),
    prepareSnapshot: (snapshot) => {
      getNodeAddresses(snapshot).forEach(node.pools.get);
      return Promise.resolve();
    },
    applySnapshot: (snapshot) => {
      node.snapshot = snapshot;
      node.pools.keepOnly(getNodeAddresses(snapshot));
      Array.from(node.views.keys())
        .filter((name) => !snapshot.backendServers.has(name))
        .forEach((name) => node.views.delete(name));
      // A backend server that refused all work under the old rules may accept it under the new ones.
      Array.from(snapshot.backendServers.values())
        .filter(({ name }) => (node.views.get(name)?.workRefusals ?? 0) > 0)
        .forEach((server) =>
          updateBackendServerView(node, server, {
            kind: ViewEventKind.WorkAccepted,
          })
        );
      node.ledger.applySnapshot(snapshot);
    },
    setConfirmingView: (confirming) => {
      node.confirmingView = confirming;
    },
    drain: () => {
      node.draining = true;
      Array.from(node.pendingUploads).forEach((refuse) => refuse());
      return new Promise((resolve) => {
        node.onEnded = () => {
          if (isIdle()) {
            resolve();
          }
        };
        node.onEnded();
      });
    },
    stop: async () => {
      node.draining = true;
      node.ledger.stop();
      const dispatches = Array.from(node.dispatches.values());
      const calls = Array.from(node.callerCalls);
      calls.forEach((abortCall) => abortCall());
      dispatches.forEach((dispatch) => dispatch.stop());
      await Promise.all([
        node.pools.destroy(),
        node.backendPool?.destroy(),
      ]);
      return calls.length + dispatches.filter(({ remote }) => remote).length;
    },
    getStatus: () => {
      const { refusalsByReason, ...counters } = node.counters;
      return {
        ...counters,
        running: node.callerCalls.size,
        refusalsByReason: Object.fromEntries(refusalsByReason),
      };
    },
  };
}

function createCallsNode(
  options: CallsRuntimeOptions,
  choicePolicy: ChoicePolicy,
): CallsNode {
  const { settings, environment } = options;
  return {
    options,
    choicePolicy,
    pools: createCallPools(),
    backendPool: settings.backendServer === null
      ? undefined
      : createCallPool(settings.backendServer.address, { connections: null }),
    views: new Map(),
    records: createExpiringMap<Settlement>({
      maximumBytes: storedAnswerBytesMaximum,
      getBytes: (settlement) =>
        settlement.kind === SettlementKind.Finished
          ? settlement.answer?.body.byteLength ?? 0
          : 0,
      strip: (settlement) =>
        settlement.kind === SettlementKind.Finished
          ? { ...settlement, answer: undefined }
          : settlement,
    }),
    ledger: createCallLedger(options),
    dispatches: new Map(),
    callerCalls: new Set(),
    pendingUploads: new Set(),
    counters: {
      received: 0,
      answeredWhole: 0,
      refusedNotRun: 0,
      refusedUnknown: 0,
      abandoned: 0,
      refusalsByReason: new Map(),
    },
    snapshot: undefined,
    confirmingView: false,
    draining: false,
    budget: { tokens: retryBudgetCapacity },
    onEnded: () => undefined,
    createCallIdentifier: createCallIdentifierGenerator(
      settings.vm,
      environment,
    ),
  };
}

function getNodeAddresses(snapshot: Snapshot): readonly NetworkAddress[] {
  return Array.from(snapshot.backendServers.values()).map((server) =>
    server.nodeAddress
  );
}
