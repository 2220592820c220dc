import { match } from "ts-pattern";
import { joinConfiguration } from "../configuration/join_configuration.ts";
import type { Snapshot } from "../configuration/snapshot.ts";
import { createDiagnostic } from "../diagnostics/create_diagnostic.ts";
import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import { DiagnosticCode } from "../diagnostics/diagnostic_code.ts";
import { DiagnosticError } from "../diagnostics/diagnostic_error.ts";
import { getEffectiveRecords } from "../peers/get_effective_records.ts";
import { getVmsInState } from "../peers/get_vms_in_state.ts";
import { VmSightingState } from "../peers/vm_sighting_state.ts";
import type { TimerHandle } from "../runtime/timer_handle.ts";
import { createDistributionState } from "./create_distribution_state.ts";
import type { DistributionContext } from "./distribution_context.ts";
import type { DistributionEffect } from "./distribution_effect.ts";
import { DistributionEffectKind } from "./distribution_effect_kind.ts";
import type { DistributionEvent } from "./distribution_event.ts";
import { DistributionEventKind } from "./distribution_event_kind.ts";
import type { DistributionRuntime } from "./distribution_runtime.ts";
import type { DistributionRuntimeOptions } from "./distribution_runtime_options.ts";
import { getDistributionStatus } from "./get_distribution_status.ts";
import { getNextDeadline } from "./get_next_deadline.ts";
import { parseDistributionRequest } from "./parse_distribution_request.ts";
import { stepDistribution } from "./step_distribution.ts";

type EffectOf<Kind extends DistributionEffectKind> = Extract<
  DistributionEffect,
  { readonly kind: Kind }
>;

/**
 * Creates the event loop around `stepDistribution`: it keeps the state, passes
 * on events one at a time and executes the effects through the given clients
 * and callbacks.
 */
export function createDistributionRuntime(
  options: DistributionRuntimeOptions,
): DistributionRuntime {
  const { settings, environment, controlClient, platformClient } = options;
  const { clock, timers, random, auditTrail, log } = environment;
  const pendingReplies = new Map<number, (result: unknown) => void>();
  const outstandingCalls = new Set<Promise<void>>();
  let pendingConfirmations: readonly (() => void)[] = [];
  let nextRequestIdentifier = 1;
  let platformReads = 0;
  let timer: TimerHandle | undefined;
  let ownState = options.getOwnState();
  let state = createDistributionState(ownState, createContext());
  let isStarted = false;
  let isStopped = false;

  function createContext(): DistributionContext {
    return { now: clock.now(), random, settings };
  }

  function dispatch(event: DistributionEvent): void {
    if (isStopped) {
      return;
    }
    const transition = stepDistribution(state, event, createContext());
    state = transition.state;
    transition.effects.forEach(executeEffect);
  }

  /** Handles an event, preceded by a change of this node's state, if any. */
  function handle(event: DistributionEvent): void {
    const current = options.getOwnState();
    const isChanged = current.state !== ownState.state ||
      current.backendServerState !== ownState.backendServerState ||
      current.freeSlots !== ownState.freeSlots;
    if (isChanged) {
      ownState = current;
      dispatch({ kind: DistributionEventKind.OwnStateChanged, ownState });
    }
    dispatch(event);
    setTimer();
  }

  function setTimer(): void {
    timer?.cancel();
    const deadline = getNextDeadline(state);
    timer = isStarted && !isStopped && deadline !== Infinity
      ? timers.at(
        deadline,
        () => handle({ kind: DistributionEventKind.DeadlineReached }),
      )
      : undefined;
  }

  function executeEffect(effect: DistributionEffect): void {
    match(effect)
      .with({ kind: DistributionEffectKind.CallPeer }, callPeer)
      .with(
        { kind: DistributionEffectKind.Reply },
        ({ requestIdentifier, answer }) => {
          pendingReplies.get(requestIdentifier)?.(answer.result);
          pendingReplies.delete(requestIdentifier);
        },
      )
      .with({ kind: DistributionEffectKind.ReadPlatform }, readPlatform)
      .with({ kind: DistributionEffectKind.WatchPlatform }, watchPlatform)
      .with({ kind: DistributionEffectKind.ListVms }, listVms)
      .with({ kind: DistributionEffectKind.PrepareSnapshot }, prepareSnapshot)
      .with(
        { kind: DistributionEffectKind.ApplySnapshot },
        ({ snapshot }) => options.applySnapshot(snapshot),
      )
      .with({ kind: DistributionEffectKind.ConfirmView }, () => {
        pendingConfirmations.forEach((resolve) => resolve());
        pendingConfirmations = [];
      })
      .with(
        { kind: DistributionEffectKind.RecordAudit },
        ({ entry }) => auditTrail.record(entry),
      )
      .with(
        { kind: DistributionEffectKind.LogWarning },
        ({ fields, message }) => log.warn(fields, message),
      )
      .exhaustive();
  }

  function callPeer(
    { call, deadline, freshConnection }: EffectOf<
      DistributionEffectKind.CallPeer
    >,
  ): void {
    const { address, request } = call;
    const outstanding = controlClient.call({
      address,
      method: request.method,
      parameters: "parameters" in request ? request.parameters : {},
      deadline,
      freshConnection,
    }).then((result) => {
      outstandingCalls.delete(outstanding);
      handle(result.match<DistributionEvent>({
        Ok: (answer) => ({
          kind: DistributionEventKind.PeerResponseReceived,
          call,
          answer,
        }),
        Err: (failure) => ({
          kind: DistributionEventKind.PeerCallFailed,
          call,
          failure,
        }),
      }));
    });
    outstandingCalls.add(outstanding);
  }

  function readPlatform(
    { deadline, forConfirmation }: EffectOf<
      DistributionEffectKind.ReadPlatform
    >,
  ): void {
    awaitPlatformResponse(
      platformClient.readConfiguration({ deadline }),
      forConfirmation,
    );
  }

  function watchPlatform(
    { revision, deadline }: EffectOf<DistributionEffectKind.WatchPlatform>,
  ): void {
    awaitPlatformResponse(
      platformClient.watchConfiguration(revision, { deadline }),
      false,
    );
  }

  function awaitPlatformResponse(
    response: ReturnType<typeof platformClient.readConfiguration>,
    forConfirmation: boolean,
  ): void {
    platformReads += 1;
    response.then((result) =>
      handle(result.match<DistributionEvent>({
        Ok: (value) => ({
          kind: DistributionEventKind.PlatformResponseReceived,
          value,
          forConfirmation,
        }),
        Err: (reason) => ({
          kind: DistributionEventKind.PlatformFailed,
          reason,
          forConfirmation,
        }),
      }))
    );
  }

  function listVms(
    { deadline }: EffectOf<DistributionEffectKind.ListVms>,
  ): void {
    platformReads += 1;
    platformClient.listVms({ deadline }).then((result) =>
      handle(result.match<DistributionEvent>({
        Ok: (vms) => ({ kind: DistributionEventKind.VmsListed, vms }),
        Err: (reason) => ({
          kind: DistributionEventKind.VmListFailed,
          reason,
        }),
      }))
    );
  }

  function prepareSnapshot(
    { snapshot }: EffectOf<DistributionEffectKind.PrepareSnapshot>,
  ): void {
    const { version } = snapshot;
    options.prepareSnapshot(snapshot).then(
      () => handle({ kind: DistributionEventKind.SnapshotPrepared, version }),
      // The version is put in force at the deadline of its stage.
      (error: unknown) =>
        log.warn(
          { version, error: String(error) },
          "Failed to prepare a snapshot",
        ),
    );
  }

  return {
    start() {
      isStarted = true;
      handle({ kind: DistributionEventKind.Started });
    },
    handleControlMethod(method, parameters) {
      if (isStopped) {
        return rejectMessage({
          path: "method",
          found: "sent to a stopped node",
          allowed: "sent to a running node",
        });
      }
      return parseDistributionRequest(method, parameters).match({
        Ok: (request) =>
          new Promise<unknown>((resolve) => {
            const requestIdentifier = nextRequestIdentifier++;
            pendingReplies.set(requestIdentifier, resolve);
            handle({
              kind: DistributionEventKind.RequestReceived,
              requestIdentifier,
              request,
            });
          }),
        Err: ([reason]) => rejectMessage(reason ?? {}),
      });
    },
    getSnapshot: (): Snapshot | undefined => state.versions.inForce?.snapshot,
    getDocument: () =>
      state.versions.inForce && joinConfiguration(state.versions.inForce.set),
    getPeers: () => getEffectiveRecords(state.peers),
    getGoneVms: () => getVmsInState(state.peers, VmSightingState.Gone),
    getLeavingVms: () => getVmsInState(state.peers, VmSightingState.Leaving),
    confirmView() {
      if (isStopped) {
        return Promise.resolve();
      }
      return new Promise((resolve) => {
        pendingConfirmations = [...pendingConfirmations, resolve];
        handle({ kind: DistributionEventKind.ViewConfirmationRequested });
      });
    },
    async stop() {
      handle({ kind: DistributionEventKind.StopRequested });
      const finalCalls = [...outstandingCalls];
      isStopped = true;
      timer?.cancel();
      pendingConfirmations.forEach((resolve) => resolve());
      await Promise.allSettled(finalCalls);
    },
    getStatus: () =>
      getDistributionStatus(state, {
        platformReads,
        traffic: options.getControlTraffic?.(),
      }),
  };
}

function rejectMessage(reason: Partial<Diagnostic>): Promise<never> {
  return Promise.reject(
    new DiagnosticError(
      createDiagnostic(DiagnosticCode.ControlMessageInvalid, reason),
    ),
  );
}
