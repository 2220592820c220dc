/** Why a node sends its evidence of crashes to another one. */
export enum CrashEvidencePurpose {
  /** It has new evidence; the reply has what the other node knows of it. */
  Push = "push",
  /** It has started; the reply has all that the other node knows. */
  Query = "query",
}
