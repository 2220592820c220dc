/**
 * Signals that a call has ended. An `AbortSignal` of the runtime is one too, but
 * costs several times as much, which counts on the way of each call.
 */
export interface CallSignal {
  readonly aborted: boolean;
  addEventListener(
    type: "abort",
    listener: () => void,
    options: { readonly once: true },
  ): void;
  removeEventListener(type: "abort", listener: () => void): void;
}
