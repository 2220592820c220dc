/** An answer of a modelled backend server to one attempt of the call. */
export interface ModelledAnswer {
  readonly status: number;
  /** Whether it states that it did not run the request. */
  readonly notRun: boolean;
}
