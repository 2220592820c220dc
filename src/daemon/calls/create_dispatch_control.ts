import type { DispatchEvent } from "../../calls/dispatch_event.ts";
import { DispatchEventKind } from "../../calls/dispatch_event_kind.ts";
import type { DispatchControl } from "./dispatch_control.ts";
import type { DispatchRun } from "./dispatch_run.ts";

/** Creates the control by which other modules act on an attempt in progress. */
export function createDispatchControl(
  run: DispatchRun,
  options: { readonly remote: boolean },
): DispatchControl {
  const detachReceiver = (event: DispatchEvent) => {
    run.receiver = undefined;
    run.apply(event);
    // If the attempt continues, the rest of a paused answer still has to be read.
    run.exchange?.resume();
  };
  return {
    remote: options.remote,
    onContactLost: () =>
      detachReceiver({ kind: DispatchEventKind.ContactLost }),
    onCallerLeft: () => detachReceiver({ kind: DispatchEventKind.CallerLeft }),
    onOutcomeQueried: () =>
      run.apply({ kind: DispatchEventKind.OutcomeQueried }),
    resume: () => run.exchange?.resume(),
    stop: () => run.apply({ kind: DispatchEventKind.Stopped }),
  };
}
