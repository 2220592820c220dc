import { Result } from "true-myth";
import { createDiagnostic } from "../diagnostics/create_diagnostic.ts";
import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import { DiagnosticCode } from "../diagnostics/diagnostic_code.ts";
import type { PlatformValue } from "../platform/platform_value.ts";
import type { VmEntry } from "../platform/vm_entry.ts";
import type { PlatformFake } from "./platform_fake.ts";
import type { VirtualTime } from "./virtual_time.ts";

const answerMilliseconds = 2;

type ValueAnswer = Result<PlatformValue | undefined, Diagnostic>;

/** Creates a platform whose answers take 2 ms of virtual time. */
export function createPlatformFake(
  { clock, timers }: Pick<VirtualTime, "clock" | "timers">,
): PlatformFake {
  const waiting = new Set<() => void>();
  let value: PlatformValue | undefined;
  let vms: readonly VmEntry[] = [];
  let isDown = false;
  let reads = 0;
  let cutOff: ReadonlySet<string> = new Set();

  function isUnreachable(vm: string): boolean {
    return isDown || cutOff.has(vm);
  }

  function answerLater<Content>(
    vm: string,
    getContent: () => Content,
  ): Promise<Result<Content, Diagnostic>> {
    reads += 1;
    return new Promise((resolve) =>
      timers.at(
        clock.now() + answerMilliseconds,
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
  ): Promise<ValueAnswer> {
    if (isUnreachable(vm) || value?.revision !== revision) {
      return answerLater(vm, () => value);
    }
    reads += 1;
    return new Promise((resolve) => {
      const answer = () => {
        waiting.delete(answer);
        resolve(
          isUnreachable(vm)
            ? fail()
            : Result.ok(value?.revision === revision ? undefined : value),
        );
      };
      waiting.add(answer);
      timers.at(deadline, answer);
    });
  }

  function answerWaiting(): void {
    [...waiting].forEach((answer) =>
      timers.at(clock.now() + answerMilliseconds, answer)
    );
  }

  return {
    createClient: (vm) => ({
      readConfiguration: () => answerLater(vm, () => value),
      watchConfiguration: (revision, { deadline }) =>
        watch(vm, { revision, deadline }),
      listVms: () => answerLater(vm, () => vms),
      close: () => Promise.resolve(),
    }),
    publish(text) {
      value = { revision: (value?.revision ?? 0) + 1, text };
      answerWaiting();
    },
    setVms(next) {
      vms = next;
    },
    setDown(next) {
      isDown = next;
      answerWaiting();
    },
    setCutOff(next) {
      cutOff = new Set(next);
      answerWaiting();
    },
    getReads: () => reads,
  };
}
