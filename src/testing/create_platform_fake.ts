import { Result } from "true-myth";
import { createDiagnostic } from "../diagnostics/create_diagnostic.ts";
import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import { DiagnosticCode } from "../diagnostics/diagnostic_code.ts";
import type { PlatformValue } from "../platform/platform_value.ts";
import type { VmEntry } from "../platform/vm_entry.ts";
import type { PlatformFake } from "./platform_fake.ts";
import type { VirtualTime } from "./virtual_time.ts";

const responseMilliseconds = 2;

type WatchResult = Result<PlatformValue | undefined, Diagnostic>;

/** Creates a platform that responds to reads, and to watches after a change, in 2 ms of virtual time. */
export function createPlatformFake(
  { clock, timers }: Pick<VirtualTime, "clock" | "timers">,
): PlatformFake {
  const pendingWatches = new Set<() => void>();
  let value: PlatformValue | undefined;
  let vms: readonly VmEntry[] = [];
  let isDown = false;
  let reads = 0;
  let disconnectedVms: ReadonlySet<string> = new Set();

  function isUnreachable(vm: string): boolean {
    return isDown || disconnectedVms.has(vm);
  }

  function respondLater<Content>(
    vm: string,
    getContent: () => Content,
  ): Promise<Result<Content, Diagnostic>> {
    reads += 1;
    return new Promise((resolve) =>
      timers.at(
        clock.now() + responseMilliseconds,
        () => resolve(isUnreachable(vm) ? fail() : Result.ok(getContent())),
      )
    );
  }

  function fail<Content>(): Result<Content, Diagnostic> {
    return Result.err(
      createDiagnostic(DiagnosticCode.PlatformUnreachable, {
        path: "platform",
        found: "down",
      }),
    );
  }

  function watch(
    vm: string,
    { revision, deadline }: {
      readonly revision: number;
      readonly deadline: number;
    },
  ): Promise<WatchResult> {
    if (isUnreachable(vm) || value?.revision !== revision) {
      return respondLater(vm, () => value);
    }
    reads += 1;
    return new Promise((resolve) => {
      const respond = () => {
        pendingWatches.delete(respond);
        resolve(
          isUnreachable(vm)
            ? fail()
            : Result.ok(value?.revision === revision ? undefined : value),
        );
      };
      pendingWatches.add(respond);
      timers.at(deadline, respond);
    });
  }

  function respondToPendingWatches(): void {
    [...pendingWatches].forEach((respond) =>
      timers.at(clock.now() + responseMilliseconds, respond)
    );
  }

  return {
    createClient: (vm) => ({
      readConfiguration: () => respondLater(vm, () => value),
      watchConfiguration: (revision, { deadline }) =>
        watch(vm, { revision, deadline }),
      listVms: () => respondLater(vm, () => vms),
      close: () => Promise.resolve(),
    }),
    publish(text) {
      value = { revision: (value?.revision ?? 0) + 1, text };
      respondToPendingWatches();
    },
    setVms(next) {
      vms = next;
    },
    setDown(next) {
      isDown = next;
      respondToPendingWatches();
    },
    setDisconnectedVms(next) {
      disconnectedVms = new Set(next);
      respondToPendingWatches();
    },
    getReadCount: () => reads,
  };
}
