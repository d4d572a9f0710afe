#include "foxtailtrail/server/OperatorService.h"

#include "foxtailtrail/filters/AnswerFilter.h"

namespace foxtail {

OperatorService::OperatorService(
    OperatorServiceSettings settings, const SnapshotBoard& board, ControlLoop& control, FiberThread& controlThread, Metrics& metrics)
    : settings(std::move(settings))
    , board(board)
    , control(control)
    , controlThread(controlThread)
    , metrics(metrics)
{
}

HttpResponse OperatorService::answer(const HttpRequest&)
{
    return AnswerFilter::errorResponse({ ErrorKind::UnknownRoute, "operators use POST /v1/command" });
}

void OperatorService::count(const RequestRecord&) { }

std::string OperatorService::exposition() { return this->metrics.exposition(); }

}
