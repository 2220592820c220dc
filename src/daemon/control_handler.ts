/** Handles one control method and resolves with its result; `parameters` come unchecked from the network. */
export type ControlHandler = (
  method: string,
  parameters: unknown,
) => Promise<unknown>;
