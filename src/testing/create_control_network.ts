import { Result } from "true-myth";
import type { ControlCall } from "../peers/control_call.ts";
import type { ControlFailure } from "../peers/control_failure.ts";
import { ControlFailureKind } from "../peers/control_failure_kind.ts";
import { formatAddress } from "../runtime/format_address.ts";
import type { ControlDelivery } from "./control_delivery.ts";
import type { ControlHandler } from "./control_handler.ts";
import type { ControlMessage } from "./control_message.ts";
import type { ControlNetwork } from "./control_network.ts";
import type { VirtualTime } from "./virtual_time.ts";

const defaultDelivery: ControlDelivery = {
  isLost: false,
  delayMilliseconds: 1,
  copies: 1,
  content: undefined,
};

type ControlResult = Result<unknown, ControlFailure>;

/** Creates a network that delivers messages in virtual time, each after 1 ms unless the script decides otherwise. */
export function createControlNetwork(
  { clock, timers }: Pick<VirtualTime, "clock" | "timers">,
): ControlNetwork {
  const handlers = new Map<string, ControlHandler>();
  const sent: ControlMessage[] = [];
  let script: (message: ControlMessage) => Partial<ControlDelivery> =
    () => ({});
  let groups: readonly ReadonlySet<string>[] = [];

  function isPartitioned(from: string, to: string): boolean {
    return groups.some((group) => group.has(from) !== group.has(to));
  }

  /** Serializes the content, as sending it over a connection does, and calls `deliver` for each copy that arrives. */
  function send(
    message: ControlMessage,
    deliver: (content: unknown) => void,
  ): void {
    sent.push(message);
    const delivery = { ...defaultDelivery, ...script(message) };
    const serializedContent = JSON.stringify(
      delivery.content ?? message.content ?? null,
    );
    if (delivery.isLost || isPartitioned(message.from, message.to)) {
      return;
    }
    Array.from({ length: delivery.copies }).forEach(() =>
      timers.at(
        clock.now() + delivery.delayMilliseconds,
        () => deliver(JSON.parse(serializedContent)),
      )
    );
  }

  function sendRequest(
    from: string,
    call: ControlCall,
    resolve: (result: ControlResult) => void,
  ): void {
    const to = formatAddress(call.address);
    const { method } = call;
    const deadline = timers.at(
      call.deadline,
      () => fail(ControlFailureKind.NoResponse, "The deadline passed"),
    );
    const settle = (result: ControlResult) => {
      deadline.cancel();
      resolve(result);
    };
    const fail = (kind: ControlFailureKind, detail: string) =>
      settle(Result.err({ kind, detail }));
    send(
      { from, to, method, isResponse: false, content: call.parameters },
      (parameters) => {
        const handler = handlers.get(to);
        if (handler === undefined) {
          fail(ControlFailureKind.ConnectionFailed, "Connection refused");
          return;
        }
        handler(method, parameters).then(
          (content) =>
            send(
              { from: to, to: from, method, isResponse: true, content },
              (result) => settle(Result.ok(result)),
            ),
          (error: unknown) => fail(ControlFailureKind.Rejected, String(error)),
        );
      },
    );
  }

  return {
    listen: (address, handler) =>
      void handlers.set(formatAddress(address), handler),
    close: (address) => void handlers.delete(formatAddress(address)),
    createClient: (address) => ({
      call: (call) =>
        new Promise((resolve) =>
          sendRequest(formatAddress(address), call, resolve)
        ),
      close: () => Promise.resolve(),
    }),
    setScript(next) {
      script = next;
    },
    partition(next) {
      groups = next.map((group) => new Set(group.map(formatAddress)));
    },
    getSentMessages: () => sent,
  };
}
