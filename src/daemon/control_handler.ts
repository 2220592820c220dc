/** Handles one control request and resolves with its result; `parameters` has been received from the network and not validated. */
export type ControlHandler = (
  method: string,
  parameters: unknown,
) => Promise<unknown>;
