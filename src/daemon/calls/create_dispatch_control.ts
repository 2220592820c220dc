import type { DispatchEvent } from "../../calls/dispatch_event.ts";
import { DispatchEventKind } from "../../calls/dispatch_event_kind.ts";
import type { DispatchControl } from "./dispatch_control.ts";
import type { DispatchRun } from "./dispatch_run.ts";

/** Creates what other modules do to a try under way. */
export function createDispatchControl(
  run: DispatchRun,
  options: { readonly remote: boolean },
): DispatchControl {
  const stopReading = (event: DispatchEvent) => {
    run.receiver = undefined;
    run.apply(event);
    // A long answer of a run that goes on is read to its end.
    run.exchange?.resume();
  };
  return {
    remote: options.remote,
    contactLost: () => stopReading({ kind: DispatchEventKind.ContactLost }),
    callerLeft: () => stopReading({ kind: DispatchEventKind.CallerLeft }),
    asked: () => run.apply({ kind: DispatchEventKind.OutcomeQueried }),
    resume: () => run.exchange?.resume(),
    stop: () => run.apply({ kind: DispatchEventKind.Stopped }),
  };
}
