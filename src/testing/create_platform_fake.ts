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

  function answerLater<Content>(
    getContent: () => Content,
  ): Promise<Result<Content, Diagnostic>> {
    reads += 1;
    return new Promise((resolve) =>
      timers.at(
        clock.now() + answerMilliseconds,
        () => resolve(isDown ? fail() : Result.ok(getContent())),
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

  function watch(revision: number, deadline: number): Promise<ValueAnswer> {
    if (isDown || value?.revision !== revision) {
      return answerLater(() => value);
    }
    reads += 1;
    return new Promise((resolve) => {
      const answer = () => {
        waiting.delete(answer);
        resolve(
          isDown
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
    createClient: () => ({
      readConfiguration: () => answerLater(() => value),
      watchConfiguration: (revision, { deadline }) => watch(revision, deadline),
      listVms: () => answerLater(() => vms),
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
    getReads: () => reads,
  };
}
